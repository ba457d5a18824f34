package site

import (
	"encoding/json"
	"fmt"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// Grown gives the site with so many machines: the ones that are added hold nothing of the core and are spread over the zones in turn. The
// manifest names them in their regions.
func (site Site) Grown(machines int) (Site, error) {
	tree, failure := manifest.ParseObject(site.Manifest)
	if failure != nil {
		return Site{}, eris.Wrap(failure, "site")
	}
	regions, _ := tree["regions"].(map[string]any)
	grown, first := site, len(site.Machines)
	grown.Machines = append([]Machine{}, site.Machines...)
	for place := first; place < machines; place++ {
		beside := site.Machines[place%first]
		added := Machine{Name: fmt.Sprintf("m%02d", place+1), Zone: beside.Zone, Region: beside.Region}
		region, there := regions[added.Region].(map[string]any)
		if !there {
			return Site{}, eris.Errorf("site: the manifest has no region %s", added.Region)
		}
		names, _ := region["machines"].([]any)
		region["machines"] = append(names, added.Name)
		grown.Machines = append(grown.Machines, added)
	}
	grown.Manifest, failure = json.Marshal(tree)
	return grown, eris.Wrap(failure, "site")
}
