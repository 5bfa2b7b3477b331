// Package engine is the client that a sidecar uses to call its upstream: a model
// engine with the OpenAI-compatible HTTP protocol, or a plain service that accepts a
// JSON document.
//
// # Usage
//
//	client := engine.New(engine.Config{BaseURL: "http://127.0.0.1:9000"}, nil)
//	result, err := client.Run(ctx, engine.Call{
//		Protocol: fleet.ProtocolChat,
//		Model:    "small",
//		Input:    json.RawMessage(`"why is the lamp dim?"`),
//		Attempt:  attempt,
//	})
//	if engine.ExecutionOf(err) == fleet.NotStarted {
//		// The upstream did not run the call and never will.
//	}
//
// # Mapping
//
// A chat call posts {model, messages, max_tokens, stream, priority} to
// /v1/chat/completions. The only message has the role user; its content is the
// input when that is a JSON string, and the JSON text of the input otherwise. The
// output is choices[0].message.content as a JSON string. An embeddings call posts
// {model, input} to /v1/embeddings, and the output is data[0].embedding. A json
// call posts the input unchanged to the configured path, and the output is the
// response document.
//
// The engine's priority member is inverse to fleet.Priority: engines serve a lower
// number first, so critical is sent as 0 and batch as 3. Every call contains its
// attempt id in the header Bergamotrudder-Attempt. A response with another attempt id in
// that header is an error.
//
// # Failures
//
// A call is sent at most once; the client doesn't retry. The transport of NewHTTPClient
// counts the bytes that it passes to the operating system, so a call that failed before
// its first byte is a *NotSentError even on a reused connection. A response that proves
// that the call was not run is a *RejectedError. Every other failure is an *UnknownError:
// the upstream may have run the call.
//
// A chat stream is complete only with a finish reason and the final [DONE] event.
//
// # Optional endpoints
//
// Engines may have endpoints besides those for calls. A missing endpoint is not a
// failure: the method returns false to report it as unsupported. No common standard
// covers these endpoints, so the mapping is specific to this project; an engine with
// other endpoints needs an adapter in the deployment.
//
//	Describe     GET  /v1/engine                        {identity, startedAt, model, adapter, version, role, capabilities}
//	Load         GET  /v1/engine/load, or another path  {inFlight, waiting, capacity, utilisation, identity}
//	CacheEvents  GET  /v1/engine/cache/events?after=n   {events: [{sequence, kind, block}]}
//	Resume       GET  /v1/engine/streams/{attempt}?offset=n&identity=i  events as in a chat stream
//	Cancel       POST /v1/engine/cancel                 {attempt} -> {cancelled}
//	LoadModel    POST /v1/engine/model                  {model, adapter, version, fencing}
//	ChangeRole   POST /v1/engine/role                   {role, fencing}
//
// The response {cancelled: true} means that the engine was still running the attempt, not
// that it has stopped. The caller repeats Cancel until the engine returns
// {cancelled: false}, which means that it is not running the attempt.
//
// Priorities have no method, as they are part of a call; an engine that schedules by
// them reports the capability priority. LoadModel and ChangeRole send an order, which is
// a command with a fencing token. An order with an old token is rejected with status 409
// and {fencing}, the highest token seen; some engines ignore the token.
//
// Source of the protocol: the OpenAI API reference, sections Chat and Embeddings, as
// implemented by common engines.
package engine
