package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Input contains the sources of settings: Content, Environ and Flags, where later ones
// override earlier ones.
type Input struct {
	// File is the name of the settings file, for messages.
	File string
	// Content is the JSON with comments of the settings file; it may be empty.
	Content []byte
	// Environ contains NAME=value pairs, as returned by os.Environ.
	Environ []string
	// Flags contains name=value pairs, where name is the path of a setting.
	Flags []string
	// Offline disables the check that secrets can be read.
	Offline bool
}

// origin is the position of a setting in its source.
type origin struct {
	source string
	line   int
}

// loader reads the settings of one process and collects their faults.
type loader struct {
	in      Input
	fields  []field
	origins map[string]origin
	seen    map[string]bool
	start   origin
	// breaks are the offsets of the file's line breaks.
	breaks []int
	// unparsable is set if the file has a syntax error; missing settings are then not reported.
	unparsable bool
	faults     []Fault
}

func newLoader(in Input, fields []field) *loader {
	if in.File == "" {
		in.File = "settings"
	}
	return &loader{
		in:      in,
		fields:  fields,
		origins: make(map[string]origin),
		seen:    make(map[string]bool),
		start:   origin{source: in.File},
		breaks:  lineBreaks(in.Content),
	}
}

func (l *loader) load() {
	for i := range l.fields {
		f := &l.fields[i]
		if f.def == "" {
			continue
		}
		if err := f.set("", raw{text: f.def, untyped: true}); err != nil {
			l.fault(origin{source: "default"}, f.name, err.Error())
		}
	}
	l.file()
	l.environment()
	l.flags()
	for i := range l.fields {
		f := &l.fields[i]
		if f.required && !l.seen[f.name] && !l.unparsable {
			l.fault(l.start, f.name, "is missing, allowed are "+f.allowed())
		}
	}
}

func (l *loader) file() {
	if len(l.in.Content) == 0 {
		return
	}
	if len(l.in.Content) > MaxFileBytes {
		l.fault(l.start, "", fmt.Sprintf("the file has %d bytes, allowed are %d", len(l.in.Content), MaxFileBytes))
		return
	}
	v, err := hujson.Parse(l.in.Content)
	if err != nil {
		l.unparsable = true
		l.fault(syntaxOrigin(l.in.File, err), "", err.Error())
		return
	}
	l.start.line = l.lineAt(v.StartOffset)
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		l.fault(l.start, "", "the file must contain one object")
		return
	}
	l.object("", obj)
}

func (l *loader) object(prefix string, obj *hujson.Object) {
	names := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := literal(m.Name).text
		path := prefix + name
		at := origin{source: l.in.File, line: l.lineAt(m.Name.StartOffset)}
		switch {
		case names[name]:
			l.fault(at, path, "appears twice")
		case strings.Contains(name, "."):
			l.fault(at, path, "is no known setting; nested settings are written as objects")
		default:
			l.member(at, path, m.Value)
		}
		names[name] = true
	}
}

func (l *loader) member(at origin, path string, v hujson.Value) {
	if slices.ContainsFunc(l.fields, func(f field) bool { return f.isParent(path) }) {
		child, ok := v.Value.(*hujson.Object)
		if !ok {
			l.fault(at, path, "must be an object")
			return
		}
		l.object(path+".", child)
		return
	}
	l.assign(at, path, literal(v))
}

// assign sets the setting with the path, or records a fault.
func (l *loader) assign(at origin, path string, v raw) {
	for i := range l.fields {
		f := &l.fields[i]
		key, ok := f.match(path)
		if !ok {
			continue
		}
		l.seen[f.name] = true
		l.origins[path] = at
		if err := f.set(key, v); err != nil {
			l.fault(at, path, err.Error())
		}
		return
	}
	l.fault(at, path, "is no known setting"+l.suggestion(path))
}

// suggestion suggests a setting that differs from the path only in case or in its parent.
func (l *loader) suggestion(path string) string {
	last := path[strings.LastIndex(path, ".")+1:]
	for _, f := range l.fields {
		if strings.EqualFold(f.name, path) || strings.EqualFold(f.name[strings.LastIndex(f.name, ".")+1:], last) {
			return fmt.Sprintf(", perhaps %s is meant", f.name)
		}
	}
	return ""
}

func (l *loader) environment() {
	at := origin{source: "environment"}
	for _, pair := range slices.Sorted(slices.Values(l.in.Environ)) {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, variablePrefix) || strings.HasPrefix(name, clientPrefix) {
			continue
		}
		if value == "" {
			// A deployment sets a variable to nothing if it has no value for it.
			continue
		}
		i := slices.IndexFunc(l.fields, func(f field) bool { return f.variable() == name })
		if i >= 0 {
			l.assign(at, l.fields[i].name, raw{text: value, untyped: true})
			continue
		}
		if !l.namesSecret(name) && !isKnownVariable(name) {
			l.fault(at, name, "is no known setting")
		}
	}
}

// namesSecret reports whether the environment variable is the source of a secret.
func (l *loader) namesSecret(name string) bool {
	for _, f := range l.fields {
		if target, ok := f.target.(*string); ok && strings.HasSuffix(f.name, "Env") && *target == name {
			return true
		}
	}
	return slices.ContainsFunc(l.in.Flags, func(pair string) bool {
		setting, value, _ := strings.Cut(pair, "=")
		return strings.HasSuffix(setting, "Env") && value == name
	})
}

// isKnownVariable reports whether the variable is FileVariable or that of a setting of any
// role, because processes of different roles may share an environment.
func isKnownVariable(name string) bool {
	if name == FileVariable {
		return true
	}
	fields := slices.Concat((&Entry{}).fields(), (&Sidecar{}).fields(), (&Gateway{}).fields())
	return slices.ContainsFunc(fields, func(f field) bool { return f.variable() == name })
}

func (l *loader) flags() {
	at := origin{source: "flag"}
	for _, pair := range l.in.Flags {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			l.fault(at, pair, "must have the form name=value")
			continue
		}
		l.assign(at, path, raw{text: value, untyped: true})
	}
}

// bind makes the sources look up environment variables in the input.
func (l *loader) bind(sources ...*SecretSource) {
	lookup := func(name string) (string, bool) {
		for _, pair := range l.in.Environ {
			if k, v, ok := strings.Cut(pair, "="); ok && k == name {
				return v, true
			}
		}
		return "", false
	}
	for _, s := range sources {
		s.lookup = lookup
	}
}

// checkSource checks that one of the two settings of a secret's source is set, if it is
// required, but not both, and that the secret can be read.
func (l *loader) checkSource(file, env string, s SecretSource, required bool, minBytes int) {
	switch {
	case s.file != "" && s.env != "":
		l.fail(env, fmt.Sprintf("only one of %s and %s may be set", file, env))
	case !s.IsSet():
		if required && !l.seen[file] && !l.seen[env] && !l.unparsable {
			l.fault(l.start, file, fmt.Sprintf("is missing, one of %s and %s must be set", file, env))
		}
	case !l.in.Offline:
		l.checkSecret(file, env, s, minBytes)
	}
}

func (l *loader) checkSecret(file, env string, s SecretSource, minBytes int) {
	name := file
	if s.env != "" {
		name = env
	}
	v, err := s.Read()
	if err != nil {
		l.fail(name, "can't be read: "+err.Error())
		return
	}
	if len(v) < minBytes {
		l.fail(name, fmt.Sprintf("names a secret of %d bytes, allowed are %d to %d", len(v), minBytes, MaxSecretBytes))
	}
}

// checkDistinct checks that two addresses don't overlap, that is, have the same port on the
// same or on an unspecified IP address.
func (l *loader) checkDistinct(name string, a netip.AddrPort, other string, b netip.AddrPort) {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return
	}
	if a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified() {
		l.fail(other, fmt.Sprintf("is %s, which overlaps with %s", b, name))
	}
}

// fail records a fault at the position of the setting, or at the start of the file if it
// was not set.
func (l *loader) fail(path, reason string) {
	at, ok := l.origins[path]
	if !ok {
		at = l.start
	}
	l.fault(at, path, reason)
}

func (l *loader) fault(at origin, path, reason string) {
	l.faults = append(l.faults, Fault{Source: at.source, Line: at.line, Field: path, Reason: reason})
}

func (l *loader) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(l.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Faults: l.faults}
}

// lineAt returns the number of the line that contains the offset, counted from 1.
func (l *loader) lineAt(offset int) int {
	i, _ := slices.BinarySearch(l.breaks, offset)
	return i + 1
}

func lineBreaks(content []byte) []int {
	var breaks []int
	for i, c := range content {
		if c == '\n' {
			breaks = append(breaks, i)
		}
	}
	return breaks
}

func literal(v hujson.Value) raw {
	switch t := v.Value.(type) {
	case hujson.Literal:
		switch t.Kind() {
		case '"':
			return raw{kind: kindText, text: t.String()}
		case '0':
			return raw{kind: kindNumber, text: t.String()}
		}
	case *hujson.Array:
		list := raw{kind: kindList}
		for _, item := range t.Elements {
			list.items = append(list.items, literal(item))
		}
		return list
	}
	return raw{kind: kindOther}
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func syntaxOrigin(file string, err error) origin {
	at := origin{source: file}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			at.line = n
		}
	}
	return at
}

// RoleOf returns the role in the member "role" of a settings file. It is an error if the
// file is invalid or has no known role.
func RoleOf(content []byte) (fleet.Role, error) {
	v, err := hujson.Parse(content)
	if err != nil {
		return "", errors.WithStack(err)
	}
	if obj, ok := v.Value.(*hujson.Object); ok {
		for _, m := range obj.Members {
			if literal(m.Name).text != "role" {
				continue
			}
			role := fleet.Role(literal(m.Value).text)
			switch role {
			case fleet.RoleEntry, fleet.RoleSidecar, fleet.RoleGateway:
				return role, nil
			}
			return "", errors.Errorf("role must be %q, %q or %q", fleet.RoleEntry, fleet.RoleSidecar, fleet.RoleGateway)
		}
	}
	return "", errors.Errorf("the file states no role; add \"role\": %q, %q or %q", fleet.RoleEntry, fleet.RoleSidecar, fleet.RoleGateway)
}
