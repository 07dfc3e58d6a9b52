// Package generator is the client of a model engine and the only package that
// knows the engine's wire format. The format is an assumption until it has been
// tested with a real engine; the stand-in serves the same format.
//
// # Usage
//
//	e := generator.New(generator.Config{Address: "127.0.0.1:9000"})
//	s, err := e.Generate(ctx, generator.Job{ID: id, Prompt: prompt, MaxTokens: 128})
//	defer s.Close()
//	for {
//		chunk, err := s.Next()
//		...
//	}
package generator
