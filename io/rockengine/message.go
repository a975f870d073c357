package rockengine

// OpenRequest is the first line of a session, sent by the router to the engine.
type OpenRequest struct {
	Request     string `json:"request"`
	Epoch       uint32 `json:"epoch"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	FirstLayer  int    `json:"firstLayer"`
	LastLayer   int    `json:"lastLayer"` // inclusive
	Priority    int    `json:"priority"`  // 0 is the most urgent
	Fingerprint uint64 `json:"fingerprint"`
	Alone       bool   `json:"alone"` // not in one batch with other requests
	MaxTokens   int    `json:"maxTokens"`
	Resume      bool   `json:"resume,omitempty"` // continue the session opened with these values, whose connection was lost
}

// OpenReply is the engine's answer to an OpenRequest.
type OpenReply struct {
	Accepted bool   `json:"accepted"`
	Code     string `json:"code,omitempty"` // why nothing was started: full, leaving, wrongLayers, wrongModel or noSession
	Text     string `json:"text,omitempty"`

	// The following fields are sent only for a resumed session.
	Epoch    uint32 `json:"epoch,omitempty"`
	Index    int    `json:"index,omitempty"`    // of the next step, which may already be running
	Position int    `json:"position,omitempty"` // positions in the session's KV cache
}

// Step runs the layers of a session for the next positions.
type Step struct {
	Index       int      `json:"index"`                 // 0 is the prefill
	Position    int      `json:"position"`              // positions in the session's KV cache before the step
	Prompt      string   `json:"prompt,omitempty"`      // of the prefill, for a session that holds layer 0
	Tokens      []uint32 `json:"tokens,omitempty"`      // after the prompt, for a session that holds layer 0
	Activations []uint64 `json:"activations,omitempty"` // one for each new position, for other sessions
}

// StepReply is the engine's answer to a Step.
type StepReply struct {
	Epoch       uint32   `json:"epoch"`
	Index       int      `json:"index"`
	Position    int      `json:"position"`              // positions in the session's KV cache after the step
	Activations []uint64 `json:"activations,omitempty"` // one for each new position, unless the session holds the last layer
	Token       uint32   `json:"token"`                 // of a session that holds the last layer
	Text        string   `json:"text"`
	Done        bool     `json:"done"`            // the model ended the answer
	Cached      int      `json:"cached"`          // positions found in the prefix cache
	Error       string   `json:"error,omitempty"` // why the step was refused
}

// OrderRequest orders an engine to load or unload layers or to change its role.
type OrderRequest struct {
	Order      string `json:"order"` // load, unload or role
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"firstLayer"`
	LastLayer  int    `json:"lastLayer"` // inclusive
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	Fencing    uint64 `json:"fencing"`

	ServerName     string `json:"-"` // engine that the order is for
	AcceptedOrders uint64 `json:"-"` // before this one, for engines that compare it with theirs
}

// OrderReply is the engine's answer to an order.
type OrderReply struct {
	OK      bool   `json:"ok"`
	Fenced  bool   `json:"fenced"` // refused because of an old fencing number
	Text    string `json:"text,omitempty"`
	Fencing uint64 `json:"fencing"` // highest number seen by an engine that checks it
}

// CacheEvents is a page of the changes to an engine's prefix cache. Events may arrive late, and some may be missing.
type CacheEvents struct {
	Next   uint64       `json:"next"` // value of after that reads the next page
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a prefix was stored in an engine's prefix cache or evicted from it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix
	Stored bool   `json:"stored"` // false means evicted
}

// CacheTransfer holds the KV cache of a session for an export or import.
type CacheTransfer struct {
	Request string `json:"request"`
	Epoch   uint32 `json:"epoch"`
	State   []byte `json:"state,omitempty"` // opaque to the router
}
