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

// root is the folder of the workspace.
const root = ".."

// named matches what a model's comment says of its transition: "go: PACKAGE
// NAME" or "go: PACKAGE TYPE.NAME", several after a comma.
var named = regexp.MustCompile(`(?:go:|,) ([a-z/]+/[a-z]+) ([A-Za-z]+(?:\.[A-Za-z]+)?)`)

// TestModelsNameCode fails when a function that a model names is gone, or when
// a model names none. It is here because the test cache does not see other
// modules' files, and scenarios run without it.
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
			is.True(len(names) > 0) // every model names its code
			for _, n := range names {
				if !functions(t, n[0])[n[1]] {
					t.Errorf("%s names %s in %s, which is not there", filepath.Base(path), n[1], n[0])
				}
			}
		})
	}
}

// namesIn returns the packages and functions that a model names. Each line with
// "go:" must be understood to its end.
func namesIn(text string) [][2]string {
	var names [][2]string
	for line := range strings.Lines(text) {
		_, line, found := strings.Cut(line, "go:")
		if !found {
			continue
		}
		for _, m := range named.FindAllStringSubmatch("go:"+line, -1) {
			names = append(names, [2]string{m[1], m[2]})
		}
		if got := len(named.FindAllString("go:"+line, -1)); got != strings.Count(line, ",")+1 {
			names = append(names, [2]string{"?", strings.TrimSpace(line)})
		}
	}
	return names
}

// functions returns the functions, methods as TYPE.NAME, that a package's files
// declare outside of tests.
func functions(t *testing.T, name string) map[string]bool {
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
				found[receiver(d)+d.Name.Name] = true
			case *ast.GenDecl:
				interfaces(d, found)
			}
		}
	}
	return found
}

// receiver returns "TYPE." of a method, nothing of a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	kind := d.Recv.List[0].Type
	if pointer, is := kind.(*ast.StarExpr); is {
		kind = pointer.X
	}
	if generic, is := kind.(*ast.IndexExpr); is {
		kind = generic.X
	}
	if name, is := kind.(*ast.Ident); is {
		return name.Name + "."
	}
	return ""
}

// interfaces adds the methods of the interfaces that a declaration names.
func interfaces(d *ast.GenDecl, found map[string]bool) {
	for _, s := range d.Specs {
		kind, is := s.(*ast.TypeSpec)
		if !is {
			continue
		}
		i, is := kind.Type.(*ast.InterfaceType)
		if !is {
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
	is.Equal(namesIn("x /* go: core/keeper Enough, core/keeper Keeper.Heard */\n/* one. go: core/scheduler Write */"),
		[][2]string{{"core/keeper", "Enough"}, {"core/keeper", "Keeper.Heard"}, {"core/scheduler", "Write"}})
	is.Equal(namesIn("/* go: keeper.Enough */"), [][2]string{{"?", "keeper.Enough */"}}) // not understood, so not there
	is.True(!functions(t, "core/scheduler")["Acquire"])
	is.True(functions(t, "core/scheduler")["Write"])
	is.True(functions(t, "core/storer")["Table.Commit"])
}
