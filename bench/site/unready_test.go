package site_test

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/bench/site"
)

// cancelOnLine cancels a start with the first line that a node logs.
type cancelOnLine context.CancelFunc

func (c cancelOnLine) Write(line []byte) (int, error) {
	c()
	return len(line), nil
}

// Guards against a failed start that doesn't say which nodes it waited for.
func TestUnreadyStartNamesNodes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{Output: cancelOnLine(cancel)})
	_, err := site.Start(ctx, site.Sized(2, 1), site.WithLogger(log)) // the shares of the third zone get no holder
	assert.ErrorIs(t, err, context.Canceled)
	var unready *site.UnreadyError
	assert.Assert(t, errors.As(err, &unready), "%v", err)
	assert.Assert(t, unready.Shares < unready.WantShares, "%v", err)
	assert.Equal(t, len(unready.Nodes), 2)
	for i, name := range []string{"a-archive-0", "b-archive-1"} {
		assert.Equal(t, unready.Nodes[i].Instance, name)
		assert.ErrorContains(t, err, "\n"+name+": ready ")
	}
}

// Guards against an unready node whose error doesn't say which targets it lacks.
func TestUnreadyNodeNamesMissingTargets(t *testing.T) {
	n := site.UnreadyNode{Missing: []string{"a-archive-0", "b-archive-1"}}
	n.Instance = "c-archive-2"
	assert.Equal(t, n.String(), "c-archive-2: ready false, configuration 0 confirmed 0 ms ago, epoch 0, lease false, 0 shares, "+
		"upstream none, 0 members, no target of a-archive-0 b-archive-1")
}

// Guards against a start that fails before its nodes and doesn't say so.
func TestFailedPublicationIsNamed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := site.Start(ctx, site.Sized(1, 1))
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorContains(t, err, "publishing the configuration: ")
}
