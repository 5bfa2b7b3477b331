package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// ModelOrder is an order to an engine to load a model.
type ModelOrder struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Fencing is the fencing token, which increases each time that another process
	// acquires the lease that permits orders.
	Fencing uint64 `json:"fencing"`
}

// RoleOrder is an order to an engine to change its role.
type RoleOrder struct {
	Role string `json:"role"`
	// Fencing is the fencing token, which increases each time that another process
	// acquires the lease that permits orders.
	Fencing uint64 `json:"fencing"`
}

// Cancel stops the call with the attempt id. cancelled reports whether the engine was
// still running it; supported is false if the engine can't cancel.
func (c *Client) Cancel(ctx context.Context, attempt string) (cancelled, supported bool, err error) {
	var response struct {
		Cancelled bool `json:"cancelled"`
	}
	in := struct {
		Attempt string `json:"attempt"`
	}{Attempt: attempt}
	supported, err = c.command(ctx, CancelPath, in, 0, &response)
	return response.Cancelled, supported, err
}

// LoadModel sends the order and waits until the engine has accepted it; loading itself
// may take longer. The error is a *StaleFencingError for an old fencing token. The first
// result is false if the engine doesn't support such orders.
func (c *Client) LoadModel(ctx context.Context, o ModelOrder) (bool, error) {
	return c.command(ctx, ModelPath, o, o.Fencing, &struct{}{})
}

// ChangeRole sends the order. The results are those of LoadModel.
func (c *Client) ChangeRole(ctx context.Context, o RoleOrder) (bool, error) {
	return c.command(ctx, RolePath, o, o.Fencing, &struct{}{})
}

// command posts an order or, with a fencing token of 0, another command. It returns false
// if the engine doesn't have the endpoint.
func (c *Client) command(ctx context.Context, path string, in any, fencing uint64, out any) (bool, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return true, &NotSentError{Cause: err}
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
	var response struct {
		Fencing uint64 `json:"fencing"`
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, MaxErrorBytes))
	if err := json.Unmarshal(text, &response); err != nil {
		response.Fencing = 0
	}
	return &StaleFencingError{Sent: sent, Highest: response.Fencing}
}
