package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Objects is the platform's object store.
type Objects interface {
	// Put stores a complete object under a name.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or a *NotFoundError if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
}

// NotFoundError reports that there is no object with the name.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return "storer: no object " + e.Name }

// HTTPObjects implements Objects over HTTP.
type HTTPObjects struct {
	address string
	client  *http.Client
}

// NewObjects returns a client of the object store.
func NewObjects(config Config) *HTTPObjects {
	return &HTTPObjects{address: config.Address, client: config.client()}
}

// Put implements Objects.
func (o *HTTPObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.call(ctx, http.MethodPut, name, data)
	return err
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.call(ctx, http.MethodGet, name, nil)
}

func (o *HTTPObjects) call(ctx context.Context, method, name string, data []byte) ([]byte, error) {
	target := "http://" + o.address + "/objects/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, &UnknownOutcomeError{Cause: err}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return nil, &UnknownOutcomeError{Cause: err}
		}
		return content, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Name: name}
	case http.StatusServiceUnavailable:
		return nil, &UnavailableError{RetryAfter: retryAfter(response)}
	}
	return nil, &UnknownOutcomeError{Cause: fmt.Errorf("status %d", response.StatusCode)}
}
