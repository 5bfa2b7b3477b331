package fleet

// Execution says what is known of whether a request ran.
type Execution string

const (
	// NotStarted means that no upstream was or ever will be contacted.
	NotStarted Execution = "notStarted"
	// Unknown means that an upstream may have run the request.
	Unknown Execution = "unknown"
	// Completed means that the request ran to its end.
	Completed Execution = "completed"
)
