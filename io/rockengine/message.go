package rockengine

// OpenRequest is the first line of a session, from the router to the engine.
type OpenRequest struct {
	Request     string `json:"request"`
	Epoch       uint32 `json:"epoch"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	FirstLayer  int    `json:"firstLayer"`
	LastLayer   int    `json:"lastLayer"` // inclusive
	Priority    int    `json:"priority"`  // 0 is the most urgent
	Fingerprint uint64 `json:"fingerprint"`
	Alone       bool   `json:"alone"` // in no batch with other requests
	MaxTokens   int    `json:"maxTokens"`
	Resume      bool   `json:"resume,omitempty"` // go on with the session that these values opened, whose stream was lost
}

// OpenReply is the engine's answer to an OpenRequest.
type OpenReply struct {
	Accepted bool   `json:"accepted"`
	Code     string `json:"code,omitempty"` // full, leaving, wrongLayers, wrongModel or noSession; nothing was started
	Text     string `json:"text,omitempty"`

	// The rest is sent for a resumed session only.
	Epoch    uint32 `json:"epoch,omitempty"`
	Index    int    `json:"index,omitempty"`    // of the next step, which may be running
	Position int    `json:"position,omitempty"` // positions that the session's KV cache holds
}

// Step runs the layers of a session for the next positions.
type Step struct {
	Index       int      `json:"index"`                 // 0 is the prefill
	Position    int      `json:"position"`              // positions that the session's KV cache holds
	Prompt      string   `json:"prompt,omitempty"`      // prefill of a session with layer 0
	Tokens      []uint32 `json:"tokens,omitempty"`      // after the prompt, for a session with layer 0
	Activations []uint64 `json:"activations,omitempty"` // one for each position, for other sessions
}

// StepReply is the engine's answer to a Step.
type StepReply struct {
	Epoch       uint32   `json:"epoch"`
	Index       int      `json:"index"`
	Position    int      `json:"position"`              // positions that the KV cache holds now
	Activations []uint64 `json:"activations,omitempty"` // one for each new position, unless the session has the last layer
	Token       uint32   `json:"token"`                 // of a session with the last layer
	Text        string   `json:"text"`
	Done        bool     `json:"done"`            // the model ended the answer
	Cached      int      `json:"cached"`          // positions taken from the prefix cache
	Error       string   `json:"error,omitempty"` // the step was refused
}

// OrderRequest tells an engine what to hold.
type OrderRequest struct {
	Order      string `json:"order"` // load, unload or role
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"firstLayer"`
	LastLayer  int    `json:"lastLayer"` // inclusive
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	Fencing    uint64 `json:"fencing"`

	Server  string `json:"-"` // name of the engine that is to take the order
	Expects uint64 `json:"-"` // orders that it accepted before, for engines that compare
}

// OrderReply is the engine's answer to an order.
type OrderReply struct {
	OK      bool   `json:"ok"`
	Fenced  bool   `json:"fenced"` // refused for an old fencing number
	Text    string `json:"text,omitempty"`
	Fencing uint64 `json:"fencing"` // highest seen, by engines that check it
}

// CacheEvents is a page of what entered and left an engine's prefix cache, late and with gaps.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prefix entered or left an engine's prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix
	Stored bool   `json:"stored"` // false when it was evicted
}

// Move names the session whose KV cache is exported or imported.
type Move struct {
	Request string `json:"request"`
	Epoch   uint32 `json:"epoch"`
	State   []byte `json:"state,omitempty"` // opaque to the router
}
