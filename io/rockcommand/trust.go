package rockcommand

import (
	"fmt"

	"sassafrasrock/io/rockpeer"
)

type trustCommand struct {
	Dir   string   `arg:"" help:"Folder for the files."`
	Hosts []string `arg:"" help:"Names of hosts."`
}

// Run writes a trust root, and a certificate with its key for each host.
func (c *trustCommand) Run(inv *invocation) error {
	root, err := rockpeer.NewEphemeralRoot(inv.Now())
	if err != nil {
		return err
	}
	if err := root.WriteFiles(c.Dir, c.Hosts...); err != nil {
		return err
	}
	files := trustFiles{Root: rockpeer.RootFileName, Hosts: c.Hosts}
	if inv.isJSON() {
		return writeJSON(inv.stdout, files)
	}
	_, err = fmt.Fprintf(inv.stdout, "%s: trust root %s and certificates for %d hosts, valid for a day\n", c.Dir, files.Root, len(files.Hosts))
	return err
}

type trustFiles struct {
	Root  string   `json:"root"`
	Hosts []string `json:"hosts"`
}
