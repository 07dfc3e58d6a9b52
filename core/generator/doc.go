// Package generator is the port to a model engine: the only package that knows
// its wire format. Everything about that format is an assumption until a real
// engine is met; the stand-in serves the same format.
//
// # Usage
//
//	e := generator.New(generator.Config{Address: "127.0.0.1:9000"})
//	s, err := e.Generate(ctx, generator.Job{ID: id, Prompt: prompt, Answer: 128})
//	defer s.Close()
//	for {
//		chunk, err := s.Next()
//		...
//	}
package generator
