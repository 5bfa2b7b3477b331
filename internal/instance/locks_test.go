package instance

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// guardedPackages handle what other processes send, and recover from panics.
var guardedPackages = []string{
	"internal/availability", "internal/catalog", "internal/forward", "internal/gateway", "internal/peer", "internal/pieces",
	"internal/placement", "internal/quarantine", "internal/retry", "internal/roster", "pkg/platform",
}

// Guards against a recovered panic that leaves a lock behind, for which everything else waits:
// each lock is released by the deferred call that follows it.
func TestLocksAreReleasedByDeferredCalls(t *testing.T) {
	locks := 0
	for _, dir := range guardedPackages {
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			src, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			n, bare, err := findBareLocks(name, src)
			if err != nil {
				t.Fatal(err)
			}
			locks += n
			for _, at := range bare {
				t.Errorf("%s: a lock without the deferred call that releases it; see Locked", at)
			}
		}
	}
	if locks < 50 {
		t.Errorf("%d locks found, want 50 at least", locks)
	}
}

// Guards against a check that finds no bare lock.
func TestBareLocksAreFound(t *testing.T) {
	const src = `package p
func a() { mu.Lock(); defer mu.Unlock() }
func b() { mu.Lock(); f(); mu.Unlock() }
func c() { x.mu.RLock(); defer x.mu.RUnlock() }
func d() { if x { x.mu.RLock(); defer x.mu.Unlock() } }
func e() { x.mu.Lock(); defer y.mu.Unlock() }
func f() { switch { case x: mu.Lock() } }
`
	n, bare, err := findBareLocks("p.go", []byte(src))
	if err != nil || n != 6 || len(bare) != 4 {
		t.Errorf("%d locks, bare at %v, %v; want 6, with 4 bare", n, bare, err)
	}
}

// findBareLocks returns the number of calls that take a lock, and the positions of those that
// aren't followed by the deferred call that releases it.
func findBareLocks(name string, src []byte) (locks int, bare []string, err error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, src, parser.SkipObjectResolution)
	if err != nil {
		return 0, nil, err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		var list []ast.Stmt
		switch b := n.(type) {
		case *ast.BlockStmt:
			list = b.List
		case *ast.CaseClause:
			list = b.Body
		case *ast.CommClause:
			list = b.Body
		}
		for i, stmt := range list {
			expr, ok := stmt.(*ast.ExprStmt)
			if !ok {
				continue
			}
			lock, ok := lockOf(expr.X)
			if !ok {
				continue
			}
			locks++
			if i+1 < len(list) {
				if next, ok := list[i+1].(*ast.DeferStmt); ok && source(files, src, next.Call.Fun) == strings.Replace(source(files, src, lock), "Lock", "Unlock", 1) {
					continue
				}
			}
			bare = append(bare, files.Position(stmt.Pos()).String())
		}
		return true
	})
	return locks, bare, nil
}

// lockOf returns the function that the expression calls, if it takes a lock.
func lockOf(x ast.Expr) (*ast.SelectorExpr, bool) {
	call, ok := x.(*ast.CallExpr)
	if !ok {
		return nil, false
	}
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || fun.Sel.Name != "Lock" && fun.Sel.Name != "RLock" {
		return nil, false
	}
	return fun, true
}

func source(files *token.FileSet, src []byte, n ast.Node) string {
	return string(src[files.Position(n.Pos()).Offset:files.Position(n.End()).Offset])
}
