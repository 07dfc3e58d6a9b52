package prover

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the root folder of the workspace.
const root = ".."

// codeReference matches the functions that a comment of a model names for a
// transition: "go: PACKAGE NAME" or "go: PACKAGE TYPE.NAME", several separated by
// commas.
var codeReference = regexp.MustCompile(`(?:go:|,) ([a-z/]+/[a-z]+) ([A-Za-z]+(?:\.[A-Za-z]+)?)`)

// TestModelsNameCode fails if a function that a model names does not exist, or if a
// model names no function. It is in this package because the test cache does not
// track files of other modules, and the scenarios run without the cache.
func TestModelsNameCode(t *testing.T) {
	models, err := filepath.Glob(filepath.Join(root, "model", "*.pml"))
	is.New(t).NoErr(err)
	is.New(t).True(len(models) > 0)
	for _, path := range models {
		if strings.HasSuffix(path, ".wrong.pml") {
			continue
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(path)
			is.NoErr(err)
			names := namesIn(string(text))
			is.True(len(names) > 0) // each model names at least one function
			for _, n := range names {
				if !declaredFunctions(t, n[0])[n[1]] {
					t.Errorf("%s names %s in %s, which does not exist", filepath.Base(path), n[1], n[0])
				}
			}
		})
	}
}

// namesIn returns the packages and functions that a model names. A line with "go:"
// that does not match to its end adds the package "?" with the line, so that
// TestModelsNameCode fails.
func namesIn(text string) [][2]string {
	var names [][2]string
	for line := range strings.Lines(text) {
		_, line, found := strings.Cut(line, "go:")
		if !found {
			continue
		}
		for _, m := range codeReference.FindAllStringSubmatch("go:"+line, -1) {
			names = append(names, [2]string{m[1], m[2]})
		}
		if got := len(codeReference.FindAllString("go:"+line, -1)); got != strings.Count(line, ",")+1 {
			names = append(names, [2]string{"?", strings.TrimSpace(line)})
		}
	}
	return names
}

// declaredFunctions returns the functions, and the methods as TYPE.NAME, that the
// files of a package declare, except for test files.
func declaredFunctions(t *testing.T, name string) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	files, err := filepath.Glob(filepath.Join(root, name, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				found[receiverPrefix(d)+d.Name.Name] = true
			case *ast.GenDecl:
				addInterfaceMethods(d, found)
			}
		}
	}
	return found
}

// receiverPrefix returns "TYPE." for a method and an empty string for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	kind := d.Recv.List[0].Type
	if pointer, ok := kind.(*ast.StarExpr); ok {
		kind = pointer.X
	}
	if generic, ok := kind.(*ast.IndexExpr); ok {
		kind = generic.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addInterfaceMethods adds the methods of the interface types in a declaration.
func addInterfaceMethods(d *ast.GenDecl, found map[string]bool) {
	for _, s := range d.Specs {
		kind, ok := s.(*ast.TypeSpec)
		if !ok {
			continue
		}
		i, ok := kind.Type.(*ast.InterfaceType)
		if !ok {
			continue
		}
		for _, m := range i.Methods.List {
			for _, n := range m.Names {
				found[kind.Name.Name+"."+n.Name] = true
			}
		}
	}
}

func TestNamesIn(t *testing.T) {
	is := is.New(t)
	is.Equal(namesIn("x /* go: core/keeper CanStart, core/keeper Keeper.Observe */\n/* one. go: core/scheduler Write */"),
		[][2]string{{"core/keeper", "CanStart"}, {"core/keeper", "Keeper.Observe"}, {"core/scheduler", "Write"}})
	is.Equal(namesIn("/* go: keeper.CanStart */"), [][2]string{{"?", "keeper.CanStart */"}}) // malformed reference
	is.True(!declaredFunctions(t, "core/scheduler")["Acquire"])
	is.True(declaredFunctions(t, "core/scheduler")["Write"])
	is.True(declaredFunctions(t, "core/storer")["Table.Commit"])
}
