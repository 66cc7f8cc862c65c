package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// ErrSetting is returned for one invalid, unknown or missing key.
type ErrSetting struct {
	File string
	// Key is the dotted key, such as "callers.listen"; empty if the file as a whole can't be read.
	Key string
	// Problem says what is wrong with the value; Allowed describes the valid values.
	Problem string
	Allowed string
}

// Error implements error.
func (e ErrSetting) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s; allowed: %s", e.File, e.Problem, e.Allowed)
	}
	return fmt.Sprintf("%s: key %q %s; allowed: %s", e.File, e.Key, e.Problem, e.Allowed)
}

// Load reads and validates the settings file at path. Its error joins one ErrSetting for each invalid key.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ErrSetting{File: path, Problem: err.Error(), Allowed: "a readable TOML file"}
	}
	return Parse(path, string(text))
}

// Parse reads and validates settings from TOML text. The name of the file appears in errors only.
func Parse(file, text string) (Settings, error) {
	s := Default()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return Settings{}, decodeError(file, err)
	}
	problems := append(unknownKeys(file, meta), s.validate(file)...)
	if len(problems) > 0 {
		return Settings{}, errors.Join(problems...)
	}
	return s, nil
}

// typeErrorPattern matches the TOML library's error for a value of the wrong type.
// That error holds the line and the key only in its text.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// decodeError converts an error of the TOML library to an ErrSetting with the key, if the error names one.
func decodeError(file string, err error) error {
	line, key, message := "", "", err.Error()
	var parse toml.ParseError
	if errors.As(err, &parse) {
		line, key, message = strconv.Itoa(parse.Position.Line), parse.LastKey, parse.Message
	} else if parts := typeErrorPattern.FindStringSubmatch(message); parts != nil {
		line, key, message = parts[1], parts[2], parts[3]
	}
	return ErrSetting{
		File:    file,
		Key:     key,
		Problem: fmt.Sprintf("on line %s can't be parsed: %s", line, message),
		Allowed: allowedValue(key),
	}
}

// allowedValue describes the valid values of a key by the type of its field.
func allowedValue(key string) string {
	field, ok := keyType(key)
	if !ok {
		return "TOML"
	}
	switch {
	case field == reflect.TypeFor[Duration]():
		return `a duration in quotes, such as "2s"`
	case field.Kind() == reflect.String:
		return "a string"
	case field.Kind() == reflect.Slice:
		return "a list of strings"
	case field.Kind() == reflect.Struct:
		return "a table of " + strings.Join(tableKeys(field), ", ")
	default:
		return "an integer"
	}
}

// unknownKeys returns an ErrSetting for each key that no field has. It lists the keys of the table that holds it.
func unknownKeys(file string, meta toml.MetaData) []error {
	var problems []error
	for _, key := range meta.Undecoded() {
		table := reflect.TypeFor[Settings]()
		if parent, ok := keyType(strings.Join(key[:len(key)-1], ".")); ok && len(key) > 1 {
			table = parent
		}
		problems = append(problems, ErrSetting{
			File:    file,
			Key:     key.String(),
			Problem: "is unknown",
			Allowed: strings.Join(tableKeys(table), ", "),
		})
	}
	return problems
}

// keyType returns the type of the field for a dotted key.
func keyType(key string) (reflect.Type, bool) {
	current := reflect.TypeFor[Settings]()
	for part := range strings.SplitSeq(key, ".") {
		field, ok := fieldType(current, part)
		if !ok {
			return nil, false
		}
		current = field
	}
	return current, true
}

// fieldType returns the type of the field of table with a TOML key.
func fieldType(table reflect.Type, name string) (reflect.Type, bool) {
	if table.Kind() != reflect.Struct {
		return nil, false
	}
	for field := range table.Fields() {
		if field.Tag.Get("toml") == name {
			return field.Type, true
		}
	}
	return nil, false
}

// tableKeys returns the TOML keys of a table's fields in their order.
func tableKeys(table reflect.Type) []string {
	var keys []string
	if table.Kind() != reflect.Struct {
		return keys
	}
	for field := range table.Fields() {
		keys = append(keys, field.Tag.Get("toml"))
	}
	return keys
}
