package serve_test

import (
	"strings"

	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These tests guard against calls that reach servers with the caller's API key instead of the tenant's name, and against unknown or
// revoked keys that are accepted. This happened to every call (3,502 of 3,502), since keys were not implemented and headers were
// forwarded unchanged.
const withTenants = `{"revision":REVISION,"routes":[
{"name":"closed","hostname":"h.example","pathPrefix":"/write/","routeType":"mutating","timeoutMs":20000,"targetLatencyMs":5000,"backend":"s","maxAttempts":3},
{"name":"open","hostname":"h.example","pathPrefix":"/open/","routeType":"mutating","timeoutMs":20000,"targetLatencyMs":5000,"backend":"s","maxAttempts":3,"public":true}],
"backends":[{"name":"s"}],"limits":{},"tenants":[TENANTS]}`

const (
	firstTenant  = `{"name":"first","apiKeys":["key-one","key-two"],"priority":1,"allowedRegions":[]}`
	secondTenant = `{"name":"second","apiKeys":["key-three"],"priority":0,"allowedRegions":["south"]}`
)

// configured returns a configuration with the given tenants, as the platform sends it.
func configured(revision string, tenants ...string) gateway.ConfigurationChanged {
	GinkgoHelper()
	whole := strings.NewReplacer("REVISION", revision, "TENANTS", strings.Join(tenants, ",")).Replace(withTenants)
	content, err := platform.ImportReplacement([]byte(whole), map[string]string{"north-1": "north", "south-1": "south"})
	Expect(err).NotTo(HaveOccurred())
	read, err := manifest.Parse(content)
	Expect(err).NotTo(HaveOccurred())
	return gateway.ConfigurationChanged{Manifest: read}
}

var _ = Describe("a caller's key", func() {
	tenanted := func(tenants ...string) *fixture {
		GinkgoHelper()
		created := setUp(1, completeAnswer)
		created.proxy.Apply(configured("2", tenants...))
		created.proxy.Apply(gateway.ServersListed{Region: "south"})
		return created
	}

	DescribeTable("given a tenant's key, when its call runs, then the server is told the tenant and not the key, whatever the caller says",
		func(key string, headers ...string) {
			fixture := tenanted(firstTenant)
			response, _, _ := fixture.ask("/write/x", "b", append(headers, "Api-Key", key)...)
			Expect(response.StatusCode).To(Equal(200))
			Expect(fixture.received()).To(HaveLen(1))
			header := fixture.received()[0].request.Header
			Expect(header["X-Tenant"]).To(Equal([]string{"first"}))
			Expect(header).NotTo(HaveKey("Api-Key"))
		},
		Entry("the first key", "key-one"),
		Entry("another key", "key-two"),
		Entry("with a tenant of the caller's own", "key-one", "X-Tenant", "second"))

	DescribeTable("given no good key, when a call comes, then it is refused with 401, reaches no server, and is not told to come back",
		func(headers ...string) {
			fixture := tenanted(firstTenant)
			response, _, _ := fixture.ask("/write/x", "b", headers...)
			Expect(response.StatusCode).To(Equal(401))
			Expect(response.Header).NotTo(HaveKey("Retry-After"))
			Expect(fixture.received()).To(BeEmpty())
		},
		Entry("none at all"),
		Entry("an empty one", "Api-Key", ""),
		Entry("an unknown one", "Api-Key", "key-four"),
		Entry("one that only begins like a good one", "Api-Key", "key-on"),
		Entry("another tenant's name instead", "X-Tenant", "first"))

	It("given a key that a version takes away and one that it adds, when it is in force, then the former gets 401 and the latter runs", func() {
		fixture := tenanted(firstTenant)
		fixture.proxy.Apply(configured("3", strings.Replace(firstTenant, "key-one", "key-five", 1)))
		refused, _, _ := fixture.ask("/write/x", "b", "Api-Key", "key-one")
		served, _, _ := fixture.ask("/write/x", "b", "Api-Key", "key-five")
		Expect([]int{refused.StatusCode, served.StatusCode}).To(Equal([]int{401, 200}))
		Expect(fixture.received()).To(HaveLen(1))
	})

	It("given a public route, when a call without a key or with an unknown one comes, then it runs without a tenant and without the key", func() {
		fixture := tenanted(firstTenant)
		for _, headers := range [][]string{nil, {"Api-Key", "key-four"}, {"X-Tenant", "first"}} {
			response, _, _ := fixture.ask("/open/x", "b", headers...)
			Expect(response.StatusCode).To(Equal(200))
		}
		Expect(fixture.received()).To(HaveLen(3))
		for _, call := range fixture.received() {
			Expect(call.request.Header).NotTo(Or(HaveKey("Api-Key"), HaveKey("X-Tenant")))
		}
	})

	It("given a public route, when a call with a tenant's key comes, then the server is told the tenant", func() {
		fixture := tenanted(firstTenant)
		fixture.ask("/open/x", "b", "Api-Key", "key-two")
		Expect(fixture.received()[0].request.Header["X-Tenant"]).To(Equal([]string{"first"}))
	})

	It("given an unknown route, when a call with a good key comes, then it gets 404", func() {
		response, _, _ := tenanted(firstTenant).ask("/none/x", "b", "Api-Key", "key-one")
		Expect(response.StatusCode).To(Equal(404))
	})

	It("given a configuration without tenants, when a call comes, then it needs no key, and none is passed on", func() {
		fixture := tenanted()
		response, _, _ := fixture.ask("/write/x", "b", "Api-Key", "key-one", "X-Tenant", "first")
		Expect(response.StatusCode).To(Equal(200))
		Expect(fixture.received()[0].request.Header).NotTo(Or(HaveKey("Api-Key"), HaveKey("X-Tenant")))
	})

	It("given a tenant bound to regions without servers here, when its call comes, then it reaches no server and is told to come back", func() {
		fixture := tenanted(firstTenant, secondTenant)
		response, _, _ := fixture.ask("/write/x", "b", "Api-Key", "key-three")
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header).To(HaveKey("Retry-After"))
		Expect(fixture.received()).To(BeEmpty())
	})
})
