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

// texts is the configuration of an organisation as its operators edit it.
type texts struct {
	organisation         string
	template, parameters string
}

// loadTexts reads the configuration of a directory.
func loadTexts(directory string) (texts, error) {
	template, err := os.ReadFile(filepath.Join(directory, templateFile))
	if err != nil {
		return texts{}, err
	}
	parameters, err := os.ReadFile(filepath.Join(directory, parametersFile))
	if err != nil {
		return texts{}, err
	}
	var header struct {
		Organisation string `toml:"organisation"`
	}
	if _, err := toml.Decode(string(parameters), &header); err != nil {
		return texts{}, fmt.Errorf("%s: %w", parametersFile, err)
	}
	return texts{organisation: header.Organisation, template: string(template), parameters: string(parameters)}, nil
}

// full returns the full name of a queue or pool of the organisation.
func (t texts) full(name string) string { return t.organisation + "/" + name }

// with returns the texts with a queue added to the template and parameters set, each NAME:VALUE.
func (t texts) with(queue, pool string, values []string) texts {
	t.template += fmt.Sprintf("\n[queues.%s]\npool = %q\nmax-queued = 100\ndeadline = \"2s\"\n", queue, pool)
	for _, setting := range values {
		name, value, _ := strings.Cut(setting, ":")
		line := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` = .*$`)
		t.parameters = line.ReplaceAllLiteralString(t.parameters, name+" = "+value)
	}
	return t
}
