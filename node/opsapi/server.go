package opsapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/report"
)

const headerTimeout = 5 * time.Second

// ExplainQuery describes a request whose way through the node is to be explained.
type ExplainQuery struct {
	Method    string `query:"method"`
	Host      string `query:"host"`
	Path      string `query:"path"`
	Customer  string `query:"customer"` // name; empty for a request without a key
	Service   string `query:"service"`  // which service of a traffic split
	BodyBytes int64  `query:"bodyBytes"`
}

// Source provides the content of the responses. Its functions are called for each request that
// needs it.
type Source interface {
	Status() report.Status
	BurnCounts() burn.Document
	Metrics() *metric.Set
	// Explain tells where a request would go now, and sends nothing.
	Explain(q ExplainQuery) report.Explanation
}

// New returns an HTTP server that is not listening yet.
func New(src Source) *http.Server {
	e := echo.New()
	e.GET("/health", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"status": "ok"})
	})
	e.GET("/ready", func(c echo.Context) error {
		s := src.Status()
		if !s.Ready || s.Draining {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"status": "not ready"})
		}
		return c.JSON(http.StatusOK, map[string]string{"status": "ready"})
	})
	e.GET("/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, src.Status())
	})
	e.GET("/metrics", func(c echo.Context) error {
		return c.JSON(http.StatusOK, src.Metrics().Export())
	})
	e.GET("/metrics.txt", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		return src.Metrics().WriteText(c.Response())
	})
	e.GET("/burn", func(c echo.Context) error {
		return c.JSON(http.StatusOK, src.BurnCounts())
	})
	e.GET("/explain", func(c echo.Context) error {
		q := ExplainQuery{Method: http.MethodGet}
		if err := c.Bind(&q); err != nil {
			return err
		}
		if !strings.HasPrefix(q.Path, "/") {
			return echo.NewHTTPError(http.StatusBadRequest, "path must begin with /")
		}
		return c.JSON(http.StatusOK, src.Explain(q))
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
}
