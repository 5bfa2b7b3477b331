package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Row describes one setting.
type Row struct {
	// Name is the path of the setting in the file.
	Name string `json:"name"`
	// Variable is the name of the environment variable, or empty.
	Variable string `json:"variable,omitempty"`
	// Unit is the unit of the value, or empty for strings.
	Unit string `json:"unit,omitempty"`
	// Allowed describes the allowed values, in the unit.
	Allowed string `json:"allowed"`
	// Default is the default value, or empty if there is none.
	Default  string `json:"default,omitempty"`
	Required bool   `json:"required,omitempty"`
	Help     string `json:"help"`
}

// Table returns all settings of the role, in the order of the documentation. Any role other
// than sidecar and gateway returns the settings of an entry.
func Table(role fleet.Role) []Row {
	fields := (&Entry{}).fields()
	switch role {
	case fleet.RoleSidecar:
		fields = (&Sidecar{}).fields()
	case fleet.RoleGateway:
		fields = (&Gateway{}).fields()
	}
	rows := make([]Row, 0, len(fields))
	for i := range fields {
		f := &fields[i]
		rows = append(rows, Row{
			Name:     f.name,
			Variable: f.variable(),
			Unit:     f.unit,
			Allowed:  strings.TrimSuffix(f.allowed(), " "+f.unit),
			Default:  f.def,
			Required: f.required,
			Help:     f.help,
		})
	}
	return rows
}

// WriteTable writes the role's settings as a Markdown table.
func WriteTable(w io.Writer, role fleet.Role) error {
	var b strings.Builder
	b.WriteString("| Setting | Unit | Allowed | Default | Meaning |\n|---|---|---|---|---|\n")
	for _, r := range Table(role) {
		def := r.Default
		if r.Required {
			def = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.Name, r.Unit, r.Allowed, def, r.Help)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}
