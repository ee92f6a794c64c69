package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// IdempotencyHeader is the header that carries the idempotency key of a
// request.
const IdempotencyHeader = "Idempotency-Key"

// KeysPath is the path that issues idempotency keys. The query parameter count
// is the number of keys; the default is 1.
const KeysPath = "/.dogwoodsill/idempotency-keys"

// IssuedKeys is the body of the response of KeysPath.
type IssuedKeys struct {
	Keys        []string `json:"keys"`
	ExpiresInMS int64    `json:"expiresInMs"`
}

// Dispatch sends an admitted request. A request that is not repeatable and
// carries an idempotency key goes to claimer, which runs it at the owner of the
// key; all others go to sender. If claimer is nil, keys are ignored. A request
// on an at-most-once route without a key is refused. Dispatch returns the
// response, or a refusal and the number of unused attempts.
func Dispatch(ctx context.Context, sender Sender, claimer Claimer, r model.Route, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	key := req.Header.Get(IdempotencyHeader)
	switch {
	case key == "" && r.AtMostOnce:
		return nil, req.Call.Attempts, refuse.New(refuse.IdempotencyKeyInvalid, "this route needs the header %s", IdempotencyHeader)
	case key == "" || req.Repeatable || claimer == nil:
		return sender.Do(ctx, req)
	default:
		return claimer.Do(ctx, key, req)
	}
}

// handleIssueKeys handles requests for idempotency keys.
func (s *Server) handleIssueKeys(c echo.Context) error {
	keys, e := s.issueKeys(c.Request(), c.QueryParam("count"), time.Now())
	if e != nil {
		return e.Write(c.Response())
	}
	return c.JSON(http.StatusOK, IssuedKeys{Keys: keys, ExpiresInMS: claim.MaxAge.Milliseconds()})
}

func (s *Server) issueKeys(r *http.Request, count string, now time.Time) ([]string, *refuse.Error) {
	cur := s.store.Current()
	if cur == nil {
		return nil, refuse.New(refuse.NotReady, "the node has no configuration yet").WithRetryAfter(time.Second)
	}
	id, e := s.identify(cur, r)
	if e != nil {
		return nil, e
	}
	if id.customer == "" {
		return nil, refuse.New(refuse.KeyMissing, "idempotency keys are issued to customers only")
	}
	n := 1
	if count != "" {
		var err error
		if n, err = strconv.Atoi(count); err != nil {
			return nil, refuse.New(refuse.BadRequest, "count must be a number")
		}
	}
	return s.claimer.Issue(id.customer, n, now)
}
