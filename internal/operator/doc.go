// Package operator is the operators' HTTP API of an entry, on a listener and with a
// bearer key of its own.
//
//	GET  /v1/configuration   the document and its generation
//	PUT  /v1/configuration   replaces the document; If-Match is required
//	GET  /v1/sheet           the current sheet as CSV
//	PUT  /v1/sheet           applies a sheet; If-Match is optional
//	GET  /v1/status          pipelines, upstreams, failure domains and processes
//	GET  /v1/dump            the state of this process, or of the one named by ?instance=
//
// Both PUTs take ?dryRun=true, which checks and plans and changes nothing. They
// answer PutResult. An entity tag is the generation in quotes (RFC 9110, section
// 8.8.3); an If-Match that isn't the generation in force gives 412. A sheet needs no
// If-Match, because its rows are checked against its own generation: 409 lists the
// rows in conflict, 422 every fault by row. Every error is a problem document
// (package problem). Its member execution is notStarted when nothing was changed
// and unknown when the store's answer was lost; a sheet may be sent again in both
// cases.
//
// # Usage
//
//	s := operator.New(operator.Dependencies{
//		Key:      cfg.OperatorKey().Read,
//		Current:  holder.Current,
//		Commit:   publisher.Commit,
//		Classify: classify,
//		Status:   status,
//		Dump:     dump,
//		Logger:   logger,
//		Scope:    scope,
//	})
//	go http.Serve(listener, s)
//
//	c := operator.NewClient("10.0.0.1:8081", key)
//	accepted, err := c.PutSheet(ctx, sheet, operator.PutOptions{DryRun: true})
package operator
