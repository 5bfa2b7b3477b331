// Package operator implements the operators' HTTP API of an entry. It has a separate
// listener and bearer key.
//
//	GET  /v1/configuration   the document and its generation
//	PUT  /v1/configuration   replaces the document; If-Match is required
//	GET  /v1/sheet           the current sheet as CSV
//	PUT  /v1/sheet           applies a sheet; If-Match is optional
//	GET  /v1/status          pipelines, upstreams, failure domains and processes
//	GET  /v1/dump            the state of this process, or of the one named by ?instance=
//
// Both PUTs accept ?dryRun=true, which checks and plans without a change, and return a
// PutResult. The entity tag is the generation in quotes (RFC 9110, section 8.8.3). An
// If-Match other than * and the generation in force gives 412, and a required one that is
// missing 428. A sheet needs no If-Match, because its rows are checked against the
// sheet's generation: 409 with the reason sheetConflict lists the rows in conflict, 422
// every fault by row. 409 with the reason configurationChanged means that another commit
// was accepted first; it lists no rows.
//
// Every error is a problem document (package problem). For a PUT that reached its
// handler, its member execution is notStarted when nothing was changed and unknown when
// the store's response was lost; a sheet may be sent again in both cases. Earlier errors,
// such as a wrong key, and a panic of the handler have no execution. Neither do the errors
// of a GET, except for a missing configuration, which gives notStarted.
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
//	result, err := c.PutSheet(ctx, sheet, operator.PutOptions{DryRun: true})
package operator
