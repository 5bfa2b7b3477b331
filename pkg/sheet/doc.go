// Package sheet reads and writes the operators' morning sheet: a CSV file that
// takes failure domains and upstreams in and out of service, sets capacities and
// changes priorities.
//
// The first row names the columns, in any order; kind and name are required. A
// blank cell leaves the value as it is, and so does an item without a row. Lines
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
// The row of kind generation names the configuration generation that the sheet was
// exported from. A row that would change an item that was changed after that
// generation is refused, so that one operator's sheet can't revert another's. A row
// whose values are already in force is never in conflict, so that a sheet can be
// sent again after a lost reply.
//
// A row of kind upstream with stage and failureDomain adds the upstream if it isn't
// known yet. Export leaves both blank, so that a sheet can't bring back an upstream
// that was removed after the export. The priority of an organisation is set on each
// of its rules. A rule's name is the organisation's and the pipeline's, joined by a
// slash; the pipeline may be *. Its priority is the highest that requests may ask
// for. A defaultPriority above it is lowered to it.
//
// # Usage
//
//	s, err := sheet.Parse(file)             // *sheet.InvalidError lists every fault by row
//	changes, doc, err := sheet.Plan(cfg, s) // *sheet.ConflictError lists the rows in conflict
//	err = sheet.Export(w, cfg)
package sheet
