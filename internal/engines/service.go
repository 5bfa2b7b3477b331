package engines

const (
	// priorBaseMs and priorReadMs are the time to the first event of an empty prompt and the
	// time of reading a token, in milliseconds, before there are answers. They are those of an
	// engine that reads 110 tokens a millisecond. priorWeight is the number of answers that
	// they count as, and priorTokens the size of the prompts of these.
	priorBaseMs = 50.0
	priorReadMs = 1.0 / 110
	priorWeight = 10.0
	priorTokens = 4000.0
	// The times stay within these bounds.
	minBaseMs, maxBaseMs = 5.0, 400.0
	minReadMs, maxReadMs = 1.0 / 400, 1.0 / 20
	// maxExcessFactor and maxExcessMs bound what an answer adds to the times: a later one
	// waited behind requests of other gateways or was lost for a while.
	maxExcessFactor = 2.0
	maxExcessMs     = 50.0
	// answerMemory is the number of answers after which the weight of an answer has fallen to
	// 1/e.
	answerMemory = 200.0
	// paceStep is the fraction by which an answer moves the usual pace, and firstPaceStep that of
	// the first answers, which falls with their number.
	paceStep      = 0.03
	firstPaceStep = 0.5
)

// Service has the figures that the engines of a service share.
type Service struct {
	// The weighted sums of a linear regression of the time to the first event, in milliseconds,
	// on the tokens to be read.
	n, x, y, xx, xy float64
	// baseMs and readMs are the result of the regression.
	baseMs, readMs float64
	// paceMs is the moving median of the times between events, or 0 without answers.
	paceMs float64
	// paces is the number of answers in paceMs.
	paces float64
}

// NewService returns the figures of a usual service.
func NewService() *Service {
	s := &Service{baseMs: priorBaseMs, readMs: priorReadMs}
	for _, tokens := range []float64{0, priorTokens} {
		s.add(priorWeight/2, tokens, priorBaseMs+tokens*priorReadMs)
	}
	return s
}

// NewEngine returns a start of an engine of which nothing is known.
func (s *Service) NewEngine() *Engine { return &Engine{service: s, slowness: 1} }

// ReadMs returns the usual time of reading the tokens in milliseconds.
func (s *Service) ReadMs(tokens float64) float64 { return tokens * s.readMs }

// FirstEventMs returns the usual time to the first event, in milliseconds, of a request with
// the uncached tokens on an engine that reads nothing else.
func (s *Service) FirstEventMs(tokens float64) float64 { return s.baseMs + s.ReadMs(tokens) }

func (s *Service) add(weight, tokens, ms float64) {
	s.n += weight
	s.x += weight * tokens
	s.y += weight * ms
	s.xx += weight * tokens * tokens
	s.xy += weight * tokens * ms
}

// recordFirstEvent adds an answer of an engine of usual speed.
func (s *Service) recordFirstEvent(tokens, ms float64) {
	expected := s.FirstEventMs(tokens)
	decay := 1 - 1/answerMemory
	for _, sum := range []*float64{&s.n, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= decay
	}
	s.add(1, tokens, min(ms, maxExcessFactor*expected+maxExcessMs))
	if spread := s.n*s.xx - s.x*s.x; spread > 0 {
		s.readMs = min(max((s.n*s.xy-s.x*s.y)/spread, minReadMs), maxReadMs)
	}
	s.baseMs = min(max((s.y-s.x*s.readMs)/s.n, minBaseMs), maxBaseMs)
}

// recordPace moves the usual pace towards that of an answer.
func (s *Service) recordPace(ms float64) {
	s.paces++
	step := max(paceStep, firstPaceStep/s.paces)
	switch {
	case s.paceMs <= 0:
		s.paceMs = ms
	case ms > s.paceMs:
		s.paceMs = min(s.paceMs*(1+step), ms)
	default:
		s.paceMs = max(s.paceMs/(1+step), ms)
	}
}
