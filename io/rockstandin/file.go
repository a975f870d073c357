package rockstandin

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"sassafrasrock/io/rocksettings"
)

// LoadFile reads and validates settings from a file. Its error comes from the file system or is
// rocksettings.Problems.
func LoadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return rocksettings.Decode[Settings](data)
}

// RunFile simulates the external systems that a settings file describes until ctx ends.
func RunFile(ctx context.Context, path string, log *slog.Logger) error {
	settings, err := LoadFile(path)
	if err != nil {
		return err
	}
	s, err := Start(ctx, settings)
	if err != nil {
		return err
	}
	defer s.Close()
	log.Info("stand-in started", "control", s.Address(ControlName), "platform", s.Address(PlatformName))
	<-s.Done()
	log.Info("stand-in stopped")
	return nil
}
