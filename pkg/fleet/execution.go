package fleet

// Execution is what is known about whether a request was run.
type Execution string

const (
	// NotStarted means that no upstream has run or will run the request.
	NotStarted Execution = "notStarted"
	// Unknown means that an upstream may have run the request.
	Unknown Execution = "unknown"
	// Completed means that the request was run to completion.
	Completed Execution = "completed"
)
