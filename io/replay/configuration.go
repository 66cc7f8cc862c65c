package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	templateFile   = "template.toml"
	parametersFile = "parameters.toml"
)

// configuration is the configuration of an organisation in its source form, as operators edit it.
type configuration struct {
	organisation         string
	template, parameters string
}

// loadConfiguration reads the template and the parameters in a directory.
func loadConfiguration(directory string) (configuration, error) {
	template, err := os.ReadFile(filepath.Join(directory, templateFile))
	if err != nil {
		return configuration{}, err
	}
	parameters, err := os.ReadFile(filepath.Join(directory, parametersFile))
	if err != nil {
		return configuration{}, err
	}
	var header struct {
		Organisation string `toml:"organisation"`
	}
	if _, err := toml.Decode(string(parameters), &header); err != nil {
		return configuration{}, fmt.Errorf("%s: %w", parametersFile, err)
	}
	return configuration{organisation: header.Organisation, template: string(template), parameters: string(parameters)}, nil
}

// qualifiedName returns the full name of a queue or pool of the organisation.
func (c configuration) qualifiedName(name string) string { return c.organisation + "/" + name }

// withQueue returns c with a queue added to the template and with the parameters
// in values set, each NAME:VALUE.
func (c configuration) withQueue(queue, pool string, values []string) configuration {
	c.template += fmt.Sprintf("\n[queues.%s]\npool = %q\nmax-queued = 100\ndeadline = \"2s\"\n", queue, pool)
	for _, assignment := range values {
		name, value, _ := strings.Cut(assignment, ":")
		line := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` = .*$`)
		c.parameters = line.ReplaceAllLiteralString(c.parameters, name+" = "+value)
	}
	return c
}
