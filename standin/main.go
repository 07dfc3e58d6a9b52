// Command standin runs small stand-ins of the systems around bamboohill: its
// backend servers (model engines and plain services) and the platform services
// it depends on (table service, object store, list of VMs, weight store and
// load balancer).
//
// # Usage
//
//	standin run standin.toml
//	standin check standin.toml
package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"bamboohill/core/commander"
	"bamboohill/standin/archiver"
	"bamboohill/standin/booker"
	"bamboohill/standin/counter"
	"bamboohill/standin/lister"
	"bamboohill/standin/modelserver"
	"bamboohill/standin/relayer"
	"bamboohill/standin/settings"
	"bamboohill/standin/transactor"
	"bamboohill/standin/weightserver"

	"github.com/phuslu/log"
)

func main() {
	commander.Main(commander.Config[settings.Settings]{
		Name:  "standin",
		Usage: "small stand-ins of engines, services and the platform",
		Level: func(s *settings.Settings) string { return s.Level },
		Run:   run,
	})
}

func run(ctx context.Context, s *settings.Settings, l *log.Logger) error {
	byAddress, err := handlers(ctx, *s)
	if err != nil {
		return err
	}
	for address, handler := range byAddress {
		if err := serve(ctx, address, handler, l); err != nil {
			return err
		}
	}
	if s.Balancer.Address != "" {
		if err := startBalancer(ctx, s.Balancer, l); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// startBalancer starts the balancer's relay for callers and its control
// interface.
func startBalancer(ctx context.Context, v settings.Balancer, l *log.Logger) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", v.Address)
	if err != nil {
		return err
	}
	b := relayer.NewBalancer(relayer.BalancerConfig{Targets: v.Targets, Interval: time.Duration(v.Interval) * time.Millisecond})
	go b.Run(ctx)
	go b.Relay().Serve(listener)
	return serve(ctx, v.Control, b.Faults.Wrap(b.Handler()), l)
}

// handlers returns the HTTP handlers of the configured systems by listen
// address.
func handlers(ctx context.Context, s settings.Settings) (map[string]http.Handler, error) {
	byAddress := map[string]http.Handler{}
	if s.Table.Address != "" {
		t, err := transactor.Open(s.Table.Journal)
		if err != nil {
			return nil, err
		}
		byAddress[s.Table.Address] = t.Faults.Wrap(t.Handler())
	}
	if s.Objects.Address != "" {
		o := archiver.New()
		byAddress[s.Objects.Address] = o.Faults.Wrap(o.Handler())
	}
	if s.List.Address != "" {
		v := lister.New(lister.Config{Lag: time.Duration(s.List.Lag) * time.Millisecond, VMs: s.List.VMRows()})
		byAddress[s.List.Address] = v.Faults.Wrap(v.Handler())
	}
	if s.Weights.Address != "" {
		w := weightserver.New(weightserver.Config{Rate: s.Weights.Rate, Burst: s.Weights.Burst})
		byAddress[s.Weights.Address] = w.Faults.Wrap(w.Handler())
	}
	if s.Runs.Address != "" {
		c := counter.New()
		byAddress[s.Runs.Address] = c.Faults.Wrap(c.Handler())
	}
	for _, e := range s.Engines {
		byAddress[e.Address] = newEngine(ctx, e, s.Weights.Address)
	}
	for _, v := range s.Services {
		b := booker.New(booker.Config{WorkTime: time.Duration(v.Work) * time.Millisecond, Counter: v.Runs})
		byAddress[v.Address] = b.Faults.Wrap(b.Handler())
	}
	return byAddress, nil
}

func newEngine(ctx context.Context, e settings.Engine, weights string) http.Handler {
	if !e.LocalWeights {
		weights = e.WeightStore
	}
	engine := modelserver.New(modelserver.Config{
		Memory: e.Memory, Prefill: e.Prefill, Decode: e.Decode, Warm: e.Warm, ColdCapacity: e.ColdCapacity, Warmup: e.Warmup,
		Fencing: e.Fencing, Models: e.InitialModels(), Restart: time.Duration(e.Restart) * time.Millisecond, WeightStore: weights,
	})
	context.AfterFunc(ctx, engine.Close)
	return engine.Faults.Wrap(engine.Handler())
}

func serve(ctx context.Context, address string, handler http.Handler, l *log.Logger) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	l.Info().Str("event", "listening").Str("address", listener.Addr().String()).Msg("")
	server := &http.Server{Handler: handler, MaxHeaderBytes: 1 << 20, ErrorLog: l.Std("", 0)}
	go server.Serve(listener)
	return nil
}
