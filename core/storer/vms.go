package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// VM is one entry of the platform's list of VMs. The list may be out of date. It
// serves as a source of addresses and as a hint that a VM is leaving, not as
// proof.
type VM struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"` // IP:PORT of the process on the VM
	Role    string `json:"role"`    // entry or sidecar
	Leaving bool   `json:"leaving"`
}

// VMs reads the platform's list of VMs.
type VMs struct {
	address string
	client  *http.Client
}

// NewVMs returns a reader of the platform's list of VMs.
func NewVMs(config Config) *VMs {
	return &VMs{address: config.Address, client: config.client()}
}

// List returns the live and leaving VMs as last known to the platform.
func (v *VMs) List(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address+"/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := v.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("storer: vm list: status %d", response.StatusCode)
	}
	var list []VM
	return list, json.NewDecoder(response.Body).Decode(&list)
}
