package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

const credential = "bootstrap-credential"

// fakeServer is a fake of the administration API with a configuration store and fixed responses for everything else.
type fakeServer struct {
	mu        sync.Mutex
	version   uint64
	objects   map[string]apitypes.Object
	confirmed int
	// race makes the next write fail as if another operator had changed the object first.
	race bool
}

func (f *fakeServer) writeError(w http.ResponseWriter, kind apierror.Kind, message string) {
	e := apierror.New(kind, "read the object again", "%s", message)
	w.WriteHeader(e.HTTPStatus())
	_ = json.NewEncoder(w).Encode(map[string]any{"error": e})
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := strings.TrimPrefix(r.URL.Path, "/admin/v1/")
	if r.Header.Get("Authorization") != "Bearer "+credential {
		f.writeError(w, apierror.Unauthenticated, "the credential is not known")
		return
	}
	if rest, ok := strings.CutPrefix(path, "config/"); ok {
		f.serveConfig(w, r, rest)
		return
	}
	responses := map[string]string{
		"GET keys":       `{"keys":[{"id":"k1","team":"skippers","issued_at":1790000000000},{"id":"k2","team":"clerks","issued_at":1790000000000,"withdrawn_at":1790000060000}]}`,
		"POST keys":      `{"id":"k3","team":"skippers","key":"cg_skippers_x"}`,
		"DELETE keys/k1": fmt.Sprintf(`{"id":"k1","confirmed":%d,"gateways":4}`, f.confirmed),
		"GET status": `{"revision":7,"platform_age_ms":300,"vms":[{"name":"vm-1","failure_domain":"roja","state":"live",
			"gateway":{"reachable":true,"ready":true,"revision":7,"platform_age_ms":900,"in_flight":3},"controller":{"reachable":true}},
			{"name":"vm-2","failure_domain":"engure","state":"leaving","gateway":{"reachable":true,"draining":true},"controller":{}},
			{"name":"vm-3","failure_domain":"engure","state":"live","gateway":{},"controller":{"reachable":true}}],
			"duties":[{"name":"usage","holder":"vm-1","fence":4}],"bad_objects":{"team/x":"weight: is negative"}}`,
		"GET endpoints": `{"endpoints":[{"name":"e1","pool":"logreader","addr":"https://10.0.0.1:80","failure_domain":"roja","class":"on_demand",
			"state":"ready","load":{"running":2,"waiting":1,"role":"mixed"}},{"name":"e2","pool":"logreader","addr":"https://10.0.0.2:80",
			"failure_domain":"roja","class":"reclaimable","state":"leaving","no_new_work":true,"reason":"reclaimed"}]}`,
		"POST endpoints/logreader/e1/drain": fmt.Sprintf(`{"version":9,"confirmed":%d,"gateways":4}`, f.confirmed),
		"GET requests/unresolved": `{"claims":[{"key":"ab12","team":"buyers","route":"declarations","request_id":"r1","endpoint":"q1",
			"gateway":"vm-2/1","state":"unresolved","at":1790000000000}]}`,
		"POST requests/ab12/resolve": `{}`,
		"GET usage": `{"windows":[{"id":"1790000100","teams":{"skippers":{"requests":2,"prompt_tokens":30,"output_tokens":4},
			"clerks":{"requests":1}},"reported":true,"missing":["vm-3/1"]}]}`,
		"GET burn": `{"series":[]}`,
	}
	response, ok := responses[r.Method+" "+path]
	if !ok {
		f.writeError(w, apierror.NotFound, path+" does not exist")
		return
	}
	fmt.Fprint(w, response)
}

func (f *fakeServer) serveConfig(w http.ResponseWriter, r *http.Request, path string) {
	kind, name, _ := strings.Cut(path, "/")
	old, found := f.objects[path]
	switch {
	case r.Method == http.MethodGet && name == "":
		list := ConfigList{Revision: f.version}
		for _, o := range f.objects {
			if o.Kind == kind {
				list.Items = append(list.Items, o)
			}
		}
		_ = json.NewEncoder(w).Encode(list)
	case r.Method == http.MethodGet && found:
		_ = json.NewEncoder(w).Encode(old)
	case r.Method == http.MethodGet:
		f.writeError(w, apierror.NotFound, path+" does not exist")
	case r.Method == http.MethodPut:
		condition := r.Header.Get("If-Match")
		if !found {
			condition = r.Header.Get("If-None-Match")
		}
		if want := map[bool]string{true: fmt.Sprintf(`"%d"`, old.Version), false: "*"}[found]; condition != want || f.race {
			f.race = false
			f.writeError(w, apierror.PreconditionFailed, fmt.Sprintf("%s has version %d", path, old.Version))
			return
		}
		var data json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&data)
		f.version++
		f.objects[path] = apitypes.Object{Kind: kind, Name: name, Version: f.version, Data: data}
		_ = json.NewEncoder(w).Encode(Confirmation{f.version, f.confirmed, 4})
	}
}
