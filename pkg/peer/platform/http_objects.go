package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.doWrite(ctx, http.MethodPut, PathObjects+"/"+escapePath(name), data)
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	resp, err := c.do(ctx, http.MethodGet, PathObjects+"/"+escapePath(name), nil, nil)
	if err != nil {
		return nil, false, err
	}
	switch resp.status {
	case http.StatusOK:
		return resp.body, true, nil
	case http.StatusNotFound:
		return nil, false, nil
	default:
		return nil, false, resp.statusError()
	}
}

// ListInstances implements InstanceRegistry.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.getJSON(ctx, PathInstances, &list)
	return list, err
}

// Register implements InstanceRegistry.
func (c *Client) Register(ctx context.Context, in Instance) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.KindBadRequest, err, "cannot encode the instance")
	}
	return c.doWrite(ctx, http.MethodPut, PathInstances+"/"+url.PathEscape(in.ID), body)
}

// Deregister implements InstanceRegistry.
func (c *Client) Deregister(ctx context.Context, id, incarnation string) error {
	path := PathInstances + "/" + url.PathEscape(id) + "?incarnation=" + url.QueryEscape(incarnation)
	return c.doWrite(ctx, http.MethodDelete, path, nil)
}

// doWrite sends an idempotent write and expects status 204.
func (c *Client) doWrite(ctx context.Context, method, path string, body []byte) error {
	resp, err := c.do(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	if resp.status != http.StatusNoContent {
		return resp.statusError()
	}
	return nil
}
