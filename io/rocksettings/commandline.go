package rocksettings

// CommandLine holds the settings of the operators' command line.
type CommandLine struct {
	Operators []string `json:"operators" validate:"required,min=1,max=64,dive,address"` // addresses of operators' servers, tried in order
	Token     string   `json:"token,omitempty" validate:"max=512"`
	CAFile    string   `json:"caFile,omitempty"`   // trust root of the hosts' certificates; empty means plain HTTP
	CertFile  string   `json:"certFile,omitempty"` // client certificate for mutual TLS
	KeyFile   string   `json:"keyFile,omitempty"`
}

// checkCommandLine checks the rules of the command line's settings that involve several fields.
func checkCommandLine(settings CommandLine) Problems {
	var c checker
	c.checkUnique("operators", "", settings.Operators)
	if (settings.CertFile == "") != (settings.KeyFile == "") {
		c.reject("certFile", `"`+settings.CertFile+`"`, "certFile and keyFile together, or neither")
	}
	if settings.CertFile != "" && settings.CAFile == "" {
		c.reject("caFile", "a missing value", "a file, because certFile is set")
	}
	// A token must not be sent to another host without encryption.
	for _, address := range settings.Operators {
		if settings.Token != "" && settings.CAFile == "" && !isLoopback(address) {
			c.reject("caFile", "a missing value", "a file, because a token is sent to "+address)
		}
	}
	return c.problems
}
