package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// VM is one line of the platform's list of VMs. The list lags: it is a source
// of addresses and a hint that a VM leaves, never a proof.
type VM struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"` // of the process there, ip:port
	Role    string `json:"role"`    // entry or sidecar
	Leaving bool   `json:"leaving"`
}

// VMs reads the list.
type VMs struct {
	address string
	client  *http.Client
}

// NewVMs returns a reader of the platform's list of VMs.
func NewVMs(config Config) *VMs {
	return &VMs{address: config.Address, client: config.client()}
}

// List returns the live and leaving VMs as the platform last knew them.
func (v *VMs) List(ctx context.Context) ([]VM, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address+"/vms", nil)
	if err != nil {
		return nil, err
	}
	r, err := v.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("storer: vm list: status %d", r.StatusCode)
	}
	var list []VM
	return list, json.NewDecoder(r.Body).Decode(&list)
}
