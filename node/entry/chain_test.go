package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// fullChainRanker refuses the chain of every request.
type fullChainRanker struct{ stubRanker }

// AdmitChain implements Ranker.
func (fullChainRanker) AdmitChain(string, string, uint32, time.Time) (admit.ChainOutlook, bool) {
	return admit.ChainOutlook{Service: "artwork", Probability: 0.04}, false
}

// TestChainIsRefusedBeforeWork guards against a request whose chain can't complete and that is sent
// nevertheless, and against a refusal that doesn't say why or when to return.
func TestChainIsRefusedBeforeWork(t *testing.T) {
	var out bytes.Buffer
	sent := false
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		sent = true
		return okResponse(), 0, nil
	}, WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out}), lines.NewLimiter(1), lines.NewLimiter(1)))
	s.ranker = fullChainRanker{}
	r, err := http.NewRequest(http.MethodGet, "http://"+serve(t, s), http.NoBody)
	assert.NilError(t, err)
	r.Host = "press.example"
	r.Header.Set(TimeoutHeader, "9")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	problem, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, cmp.Contains(string(problem), `"executed":"no"`))
	after, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	assert.NilError(t, err)
	assert.Assert(t, after >= 2 && after <= 3, "%d s of the 9 s that are left", after)
	assert.Assert(t, !sent)
	assert.Equal(t, s.metrics.Value(metric.ChainRefused+"artwork"), int64(1))
	assert.Assert(t, cmp.Contains(out.String(), "artwork"))
	assert.Assert(t, cmp.Contains(out.String(), "0.040"))
}
