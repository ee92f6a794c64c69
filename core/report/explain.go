package report

// Explanation tells where a node would send a request now, and why.
type Explanation struct {
	Instance   string            `json:"instance"`
	Refused    string            `json:"refused,omitempty"` // why the request would be refused at once; empty if it wouldn't
	Route      string            `json:"route,omitempty"`
	Service    string            `json:"service,omitempty"`
	Importance int               `json:"importance"` // from 0, the most important
	Admitted   float64           `json:"admitted"`   // fraction of such requests that the admission level permits
	Targets    []ExplainedTarget `json:"targets"`
}

// ExplainedTarget is a target as the choice for one request sees it.
type ExplainedTarget struct {
	ID            string  `json:"id"`
	Zone          string  `json:"zone"`
	Excluded      string  `json:"excluded,omitempty"`      // why it can't be chosen
	Chance        float64 `json:"chance"`                  // fraction of picks, estimated; the standard error is at most 0.016
	InFlight      int     `json:"inFlight"`                // calls of this node
	Load          float64 `json:"load"`                    // estimated calls of all nodes
	Limit         int     `json:"limit,omitempty"`         // 0 if not known
	ServiceUS     int64   `json:"serviceUs,omitempty"`     // microseconds; 0 if not known
	Attempts      float64 `json:"attempts"`                // expected attempts of a successful call
	FeedbackAgeMS *int64  `json:"feedbackAgeMs,omitempty"` // nil without feedback
}
