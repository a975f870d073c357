package rocksettings

// Client is the settings of the command line.
type Client struct {
	Operators []string `json:"operators" validate:"required,min=1,max=64,dive,address"` // tried in order
	Token     string   `json:"token,omitempty" validate:"max=512"`
	CAFile    string   `json:"caFile,omitempty"`   // trust root of the daemons; empty means plain HTTP
	CertFile  string   `json:"certFile,omitempty"` // own certificate for mutual TLS
	KeyFile   string   `json:"keyFile,omitempty"`
}

// checkClient returns what is wrong with a client's settings beyond single fields.
func checkClient(client Client) Problems {
	var c checker
	c.checkUnique("operators", "", client.Operators)
	if (client.CertFile == "") != (client.KeyFile == "") {
		c.reject("certFile", `"`+client.CertFile+`"`, "certFile and keyFile together, or neither")
	}
	if client.CertFile != "" && client.CAFile == "" {
		c.reject("caFile", "a missing value", "a file, because certFile is set")
	}
	// A token must not travel in plain text to another machine.
	for _, address := range client.Operators {
		if client.Token != "" && client.CAFile == "" && !isLoopback(address) {
			c.reject("caFile", "a missing value", "a file, because a token is sent to "+address)
		}
	}
	return c.problems
}
