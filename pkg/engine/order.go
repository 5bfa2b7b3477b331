package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// ModelOrder tells an engine to load a model.
type ModelOrder struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Fencing grows with each holder of the right to give orders.
	Fencing uint64 `json:"fencing"`
}

// RoleOrder tells an engine to change its role.
type RoleOrder struct {
	Role string `json:"role"`
	// Fencing grows with each holder of the right to give orders.
	Fencing uint64 `json:"fencing"`
}

// Cancel stops the call with the attempt id. The first result says whether the
// engine still ran it; the second is false when the engine can't cancel.
func (c *Client) Cancel(ctx context.Context, attempt string) (cancelled, supported bool, err error) {
	var reply struct {
		Cancelled bool `json:"cancelled"`
	}
	in := struct {
		Attempt string `json:"attempt"`
	}{Attempt: attempt}
	supported, err = c.order(ctx, CancelPath, in, 0, &reply)
	return reply.Cancelled, supported, err
}

// LoadModel gives the order and waits until the engine accepted it; loading itself
// may take longer. The error is a *StaleFencingError for an old number. The first
// result is false when the engine takes no such orders.
func (c *Client) LoadModel(ctx context.Context, o ModelOrder) (bool, error) {
	return c.order(ctx, ModelPath, o, o.Fencing, &struct{}{})
}

// ChangeRole gives the order. The results are as those of LoadModel.
func (c *Client) ChangeRole(ctx context.Context, o RoleOrder) (bool, error) {
	return c.order(ctx, RolePath, o, o.Fencing, &struct{}{})
}

// order posts one order. It returns false when the engine lacks the path.
func (c *Client) order(ctx context.Context, path string, in any, fencing uint64, out any) (bool, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return true, &NotContactedError{Cause: err}
	}
	resp, err := c.post(ctx, path, body, make(http.Header))
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict && fencing > 0 {
		return true, staleFencing(resp, fencing)
	}
	return readDocument(ctx, resp, out)
}

func staleFencing(resp *http.Response, sent uint64) error {
	var reply struct {
		Fencing uint64 `json:"fencing"`
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, MaxErrorBytes))
	if err := json.Unmarshal(text, &reply); err != nil {
		reply.Fencing = 0
	}
	return &StaleFencingError{Sent: sent, Highest: reply.Fencing}
}
