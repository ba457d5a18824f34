package site

import (
	"encoding/json"
	"fmt"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// WithMachines returns the site with at least a number of machines. The added ones are not of the core, are spread over the zones like the
// existing ones, and are listed in the regions of the manifest.
func (site Site) WithMachines(machines int) (Site, error) {
	tree, err := manifest.ParseObject(site.Manifest)
	if err != nil {
		return Site{}, eris.Wrap(err, "site")
	}
	regions, _ := tree["regions"].(map[string]any)
	grown, first := site, len(site.Machines)
	grown.Machines = append([]Machine{}, site.Machines...)
	for index := first; index < machines; index++ {
		template := site.Machines[index%first]
		added := Machine{Name: fmt.Sprintf("m%02d", index+1), Zone: template.Zone, Region: template.Region}
		region, found := regions[added.Region].(map[string]any)
		if !found {
			return Site{}, eris.Errorf("site: the manifest has no region %s", added.Region)
		}
		names, _ := region["machines"].([]any)
		region["machines"] = append(names, added.Name)
		grown.Machines = append(grown.Machines, added)
	}
	grown.Manifest, err = json.Marshal(tree)
	return grown, eris.Wrap(err, "site")
}
