package operator

import "time"

// Bounds of the operators' API.
const (
	// MaxDocumentBytes is the largest configuration document, in bytes.
	MaxDocumentBytes = 16 << 20
	// MaxDumpBytes is the largest dump that a client reads, in bytes.
	MaxDumpBytes = 64 << 20
	// bodyReadTimeout bounds how long a client may take to send a body.
	bodyReadTimeout = 30 * time.Second
	// replans is how often a sheet is planned anew after another commit came first.
	replans = 5
	// replanDelay gives this process time to take the other commit.
	replanDelay = 100 * time.Millisecond
	// retryAfterMs is the advised wait after a failure of the store, in milliseconds.
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
