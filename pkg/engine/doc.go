// Package engine is the client that a sidecar uses to call its upstream: a model
// engine that speaks the OpenAI-compatible HTTP protocol, or a plain service that
// takes a JSON document.
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
// reply document.
//
// The engine's priority member counts the other way round than fleet.Priority:
// engines serve a lower number first, so critical is sent as 0 and batch as 3.
// Every call carries its attempt id in the header Bergamotrudder-Attempt. A reply
// that names another attempt in that header is refused.
//
// # Failures
//
// A call is sent at most once; nothing is retried here. The transport of
// NewHTTPClient counts the bytes that it hands to the operating system, so a call
// that failed before its first byte is a *NotContactedError even on a reused
// connection. A reply that certainly rejects the call is a *RejectedError. Every
// other failure is an *UnknownError: the upstream may have run the call.
//
// A chat stream is whole only with a finish reason and the final [DONE] event.
//
// # Extras
//
// Engines may offer more than calls. What an engine lacks is not a failure: the
// method returns false as its second result. No common standard covers these, so
// the mapping is this project's own and a deployment puts an adapter beside an
// engine that names them otherwise.
//
//	Describe     GET  /v1/engine                        {identity, startedAt, model, version, role, capabilities}
//	Load         GET  /v1/engine/load, or a stated path {inFlight, waiting, capacity, utilisation, identity}
//	CacheEvents  GET  /v1/engine/cache/events?after=n   {events: [{sequence, kind, block}]}
//	Resume       GET  /v1/engine/streams/{attempt}?offset=n&identity=i  events as of a chat stream
//	Cancel       POST /v1/engine/cancel                 {attempt} -> {cancelled}
//	LoadModel    POST /v1/engine/model                  {model, adapter, version, fencing}
//	ChangeRole   POST /v1/engine/role                   {role, fencing}
//
// A cancellation is repeated until the engine answers {cancelled: false}, which says
// that it doesn't run the attempt.
//
// Priorities need no method of their own: they are part of a call, and an engine
// that serves by them names the capability priority. An order with an old fencing
// number is refused with status 409 and {fencing}, the highest number seen; some
// engines ignore the number.
//
// Source of the protocol: the OpenAI API reference, sections Chat and Embeddings,
// as implemented by common engines.
package engine
