package operator

import "time"

// Limits of the operators' API.
const (
	// MaxDocumentBytes is the maximum size of a configuration document, in bytes.
	MaxDocumentBytes = 16 << 20
	// MaxDumpBytes is the maximum size of a dump that a client reads, in bytes.
	MaxDumpBytes = 64 << 20
	// bodyReadTimeout limits how long a client may take to send a body.
	bodyReadTimeout = 30 * time.Second
	// maxReplans is how often a sheet is planned again after a conflict with another commit.
	maxReplans = 5
	// replanDelay gives this process time to load the other commit.
	replanDelay = 100 * time.Millisecond
	// retryAfterMs is the retry delay in problem documents, such as after a failure of the
	// store, in milliseconds.
	retryAfterMs = 1000
)

// Reasons of problem documents.
const (
	ReasonWrongKey             = "wrongKey"
	ReasonKeyUnavailable       = "keyUnavailable"
	ReasonNoConfiguration      = "noConfiguration"
	ReasonUnknownPath          = "unknownPath"
	ReasonWrongMethod          = "wrongMethod"
	ReasonTooLarge             = "tooLarge"
	ReasonMalformed            = "malformed"
	ReasonInvalidSheet         = "invalidSheet"
	ReasonSheetConflict        = "sheetConflict"
	ReasonInvalidConfiguration = "invalidConfiguration"
	ReasonPreconditionMissing  = "preconditionMissing"
	ReasonPreconditionFailed   = "preconditionFailed"
	ReasonConfigurationChanged = "configurationChanged"
	ReasonNotWritten           = "notWritten"
	ReasonUnresolved           = "unresolved"
	ReasonUnknownInstance      = "unknownInstance"
	ReasonUnreachable          = "unreachable"
	ReasonInternal             = "internal"
)
