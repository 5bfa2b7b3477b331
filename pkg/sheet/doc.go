// Package sheet reads and writes the operators' sheet: a CSV file that takes failure
// domains and upstreams in and out of service, sets capacities and changes priorities.
//
// The first row is the header; the columns may be in any order, and kind and name are
// required. A blank cell leaves the value unchanged, and so does a missing row. Lines
// that start with # are comments.
//
//	kind,name,state,capacity,priority,defaultPriority,stage,failureDomain
//	generation,42,,,,,,
//	failureDomain,b,out,,,,,
//	upstream,runner-7,in,12,,,,
//	upstream,runner-13,in,12,,,generate,c
//	organisation,northside,,,high,,,
//	rule,acme/diagnosis,,,critical,normal,,
//
// The row of kind generation contains the configuration generation that the sheet was
// exported from. A row that would modify an item that was changed after that generation
// is a conflict, so that one operator's sheet can't revert another's. A row whose values
// are already in force never conflicts, so that a sheet can be resent after a lost
// response.
//
// A row of kind upstream with stage and failureDomain adds the upstream if it doesn't
// exist. Export leaves both blank, so that a sheet can't restore an upstream that was
// removed after the export. The priority of an organisation is set on each of its rules.
// A rule's name consists of the organisation's and the pipeline's, separated by a slash;
// the pipeline may be *. A rule's priority is the highest that requests may have. A
// defaultPriority above it is lowered to it, but is an error if the sheet itself sets it.
//
// # Usage
//
//	s, err := sheet.Parse(file)             // *sheet.InvalidError lists all faults by row
//	changes, doc, err := sheet.Plan(cfg, s) // *sheet.ConflictError lists the conflicting rows
//	err = sheet.Export(w, cfg)
package sheet
