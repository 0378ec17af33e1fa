package settings

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/settings.md, which documents the settings of all programs.
func Markdown() string {
	gateway, _ := gatewayRegistry()
	controller, _ := controllerRegistry()
	ctl, _ := ctlRegistry()
	platform, _ := standinPlatformRegistry()
	engine, _ := standinEngineRegistry()
	service, _ := standinServiceRegistry()
	fleet, _ := localfleetRegistry()
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `internal/settings` by `make settings`; a test holds this page to the code.\n\n" +
		"A flag wins over its environment variable. There is no configuration file. A program lists all invalid settings at once\n" +
		"and ends with exit code 2.\n")
	for _, r := range []*registry{gateway, controller, ctl, platform, engine, service, fleet} {
		r.writeMarkdown(&b)
	}
	return b.String()
}

// writeMarkdown writes the section of one program.
func (r *registry) writeMarkdown(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s\n\n%s.\n\n| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n",
		r.program, strings.ToUpper(r.summary[:1])+r.summary[1:])
	for _, e := range r.entries {
		name, defaultValue := "", ""
		if e.name != "" {
			name = "`--" + e.name + "`"
		}
		if e.defaultValue != "" {
			defaultValue = "`" + e.defaultValue + "`"
		}
		fmt.Fprintf(b, "| %s | `%s` | %s | %s |\n", name, e.env, defaultValue, e.usage)
	}
}
