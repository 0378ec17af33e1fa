package settings

import (
	"fmt"
	"strings"
)

// Markdown returns docs/settings.md: the settings of all programs.
func Markdown() string {
	gateway, _ := gatewayForm()
	controller, _ := controllerForm()
	ctl, _ := ctlForm()
	platform, _ := standinPlatformForm()
	engine, _ := standinEngineForm()
	service, _ := standinServiceForm()
	fleet, _ := localfleetForm()
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `internal/settings` by `make settings`; a test holds this page to the code.\n\n" +
		"A flag wins over its environment variable. There is no configuration file. A program lists all mistakes at once\n" +
		"and ends with exit code 2.\n")
	for _, f := range []*form{gateway, controller, ctl, platform, engine, service, fleet} {
		f.markdown(&b)
	}
	return b.String()
}

func (f *form) markdown(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s\n\n%s.\n\n| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n",
		f.program, strings.ToUpper(f.summary[:1])+f.summary[1:])
	for _, e := range f.entries {
		name, fallback := "", ""
		if e.name != "" {
			name = "`--" + e.name + "`"
		}
		if e.fallback != "" {
			fallback = "`" + e.fallback + "`"
		}
		fmt.Fprintf(b, "| %s | `%s` | %s | %s |\n", name, e.env, fallback, e.usage)
	}
}
