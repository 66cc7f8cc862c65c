package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"siskincross/io/settings"
	"siskincross/platform"
)

// checkBootSettings validates a boot settings file and prints the entry host that it configures.
func checkBootSettings(cmd *cli.Command, path string) error {
	boot, err := platform.LoadBootSettings(path)
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "boot settings of entry host %s in %s are valid\n", boot.Name, boot.Zone)
	return err
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validates an entry host's settings without starting it",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, TakesFile: true, Sources: cli.EnvVars("SISKINCROSS_SETTINGS"),
				Usage: "read the entry host's settings from this TOML `FILE`",
			},
			&cli.StringFlag{
				Name: "boot", TakesFile: true, Sources: cli.EnvVars(platform.BootSettingsEnvVar),
				Usage: "read the boot settings of the users' platform from this YAML `FILE`",
			},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	if path := cmd.String("boot"); path != "" {
		return checkBootSettings(cmd, path)
	}
	if cmd.String("settings") == "" {
		return exitErrorf(ExitUsage, "--settings or --boot is required")
	}
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "settings of entry host %s of deployment %s are valid\n", s.Name, s.Deployment)
	return err
}
