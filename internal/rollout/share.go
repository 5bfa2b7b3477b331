package rollout

// Bounds limit what a version that turns out to be bad may get before its verdict.
type Bounds struct {
	// Share is its part of all requests for its service, and Slack the requests beyond that.
	Share float64
	Slack float64
}

// IsEnabled reports whether the deployment has roll-outs.
func (b Bounds) IsEnabled() bool { return b.Share > 0 }

// credit is what the new version may get from this gateway. Each send of the gateway for the
// service adds the share, and each one to the new version takes one. A gateway that starts has
// none, so no sum over gateways exceeds the share of what they sent, whoever restarts.
//
// Calls with several pieces count as calls and by their pieces.
type credit struct {
	calls, pieces float64
	// slack is what is left of this gateway's part of the slack.
	slack float64
}

func (c *credit) earn(share float64, n int) {
	c.calls = min(maxCalls, c.calls+share)
	c.pieces = min(maxPieces, c.pieces+share*float64(n))
}

// drip gives out a part of the slack.
func (c *credit) drip(amount float64) {
	amount = min(amount, c.slack)
	c.slack -= amount
	c.calls = min(maxCalls, c.calls+amount)
	c.pieces = min(maxPieces, c.pieces+amount)
}

func (c *credit) spend(n int) {
	c.calls--
	c.pieces -= float64(n)
}

// allowance returns the number of pieces that a call to the new version may have.
func (c *credit) allowance() int {
	if c.calls < 1 || c.pieces < 1 {
		return 0
	}
	return int(c.pieces)
}
