package manifest_test

import (
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("a call gets the route of its host with the longest prefix of its path", func(host, path, route string) {
	routes := manifest.Routes{}
	for name, place := range map[string][2]string{"root": {"h.example", "/"}, "a": {"h.example", "/a/"}, "ab": {"h.example", "/a/b/"}, "port": {"p.example:8080", "/"},
		"other": {"other.example", "/x/"}} {
		routes = routes.With(manifest.GatewayRoute{Name: name, Host: place[0], Prefix: place[1]})
	}
	found, there := routes.Find(host, path)
	Expect(there).To(Equal(route != ""))
	Expect(found.Name).To(Equal(route))
},
	Entry("a path below two prefixes", "h.example", "/a/b/c", "ab"),
	Entry("the prefix itself", "h.example", "/a/b/", "ab"),
	Entry("a path without the prefix's last slash", "h.example", "/a/b", "a"),
	Entry("a segment that only starts like a prefix", "h.example", "/a/bc/d", "a"),
	Entry("a path with an empty segment", "h.example", "/a//b/c", "a"),
	Entry("any other path", "h.example", "/c", "root"),
	Entry("an empty path", "h.example", "", ""),
	Entry("a host in capitals", "H.Example", "/a/x", "a"),
	Entry("a host with a port", "h.example:8161", "/a/x", "a"),
	Entry("a host in capitals with a port", "H.EXAMPLE:8161", "/a/x", "a"),
	Entry("a host that is configured with its port", "p.example:8080", "/x", "port"),
	Entry("a path of no route", "other.example", "/y/z", ""),
	Entry("a path above the only prefix", "other.example", "/x", ""),
	Entry("an unknown host", "none.example", "/a/x", ""),
	Entry("no host", "", "/a/x", ""),
	Entry("a path in another case", "other.example", "/X/z", ""),
)
