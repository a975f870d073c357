// Command sassafrasrock-standin plays the platform, model engines and an
// application service for tests and demonstrations.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"sassafrasrock/io/rockstandin"
)

func main() {
	var args struct {
		Settings string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
	}
	parser := kong.Parse(&args, kong.Description("Plays the outside systems of sassafrasrock, on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(rockstandin.RunFile(ctx, args.Settings, slog.Default()))
}
