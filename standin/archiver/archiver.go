// Package archiver is the stand-in of the platform's object store.
//
// # Usage
//
//	o := archiver.New()
//	http.ListenAndServe(address, o.Faults.Wrap(o.Handler()))
//
// "PUT /objects/NAME" stores an object and "GET /objects/NAME" returns it.
package archiver

import (
	"io"
	"net/http"
	"sync"

	"bamboohill/standin/injector"
)

// maxObject is the largest accepted object, in bytes.
const maxObject = 64 << 20

// Objects is an object store that keeps its objects in memory.
type Objects struct {
	Faults *injector.Faults

	mu      sync.Mutex
	objects map[string][]byte
}

// New returns an empty store.
func New() *Objects {
	return &Objects{Faults: injector.New(), objects: map[string][]byte{}}
}

// Handler returns the HTTP interface.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name}", o.get)
	mux.HandleFunc("PUT /objects/{name}", o.put)
	return mux
}

func (o *Objects) get(w http.ResponseWriter, q *http.Request) {
	o.mu.Lock()
	data, found := o.objects[q.PathValue("name")]
	o.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(data)
}

func (o *Objects) put(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[q.PathValue("name")] = data
}
