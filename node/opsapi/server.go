package opsapi

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/report"
)

const headerTimeout = 5 * time.Second

// New returns an HTTP server that is not listening yet. The functions return the
// content of the responses and are called for each request that needs it.
func New(status func() report.Status, burnCounts func() burn.Document, metrics func() *metric.Set) *http.Server {
	e := echo.New()
	e.GET("/health", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"status": "ok"})
	})
	e.GET("/ready", func(c echo.Context) error {
		s := status()
		if !s.Ready || s.Draining {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"status": "not ready"})
		}
		return c.JSON(http.StatusOK, map[string]string{"status": "ready"})
	})
	e.GET("/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, status())
	})
	e.GET("/metrics", func(c echo.Context) error {
		return c.JSON(http.StatusOK, metrics().Export())
	})
	e.GET("/metrics.txt", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		return metrics().WriteText(c.Response())
	})
	e.GET("/burn", func(c echo.Context) error {
		return c.JSON(http.StatusOK, burnCounts())
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
}
