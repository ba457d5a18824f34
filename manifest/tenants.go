package manifest

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/benbjohnson/immutable"
)

// KeyDigest is the SHA-256 digest of a tenant's API key. Keys are looked up by digest, so that the time of a lookup reveals nothing of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is an organisation. Its callers send one of its keys, of which a node keeps only the digests. AllowedRegions are the only regions
// that may run or store its calls; empty means all.
type Tenant struct {
	Name           string
	Keys           []KeyDigest
	AllowedRegions []string
}

// Tenants is a set of tenants, indexed by name and by key. It is immutable: With and Without return another set that shares the tenants
// that both have. The zero value is the empty set.
type Tenants struct {
	byName *immutable.SortedMap[string, *Tenant]
	byKey  *immutable.Map[KeyDigest, *Tenant]
}

// digestHasher hashes and compares digests for the index by key. The bytes of a digest are evenly distributed, so the first four are its hash.
type digestHasher struct{}

func (digestHasher) Hash(digest KeyDigest) uint32       { return binary.BigEndian.Uint32(digest[:]) }
func (digestHasher) Equal(digest, other KeyDigest) bool { return digest == other }

// Indexes of the zero value.
var (
	emptyTenants = immutable.NewSortedMap[string, *Tenant](nil)
	emptyKeys    = immutable.NewMap[KeyDigest, *Tenant](digestHasher{})
)

// maps returns both indexes, which the zero value lacks.
func (tenants Tenants) maps() (*immutable.SortedMap[string, *Tenant], *immutable.Map[KeyDigest, *Tenant]) {
	if tenants.byName == nil {
		return emptyTenants, emptyKeys
	}
	return tenants.byName, tenants.byKey
}

// Len returns the number of tenants.
func (tenants Tenants) Len() int {
	byName, _ := tenants.maps()
	return byName.Len()
}

// Get returns the tenant with a name.
func (tenants Tenants) Get(name string) (Tenant, bool) {
	byName, _ := tenants.maps()
	if tenant, found := byName.Get(name); found {
		return *tenant, true
	}
	return Tenant{}, false
}

// All calls visit for each tenant in the order of names, until visit returns true.
func (tenants Tenants) All(visit func(tenant Tenant) bool) {
	byName, _ := tenants.maps()
	for iterator := byName.Iterator(); !iterator.Done(); {
		if _, tenant, _ := iterator.Next(); visit(*tenant) {
			return
		}
	}
}

// ByKey returns the tenant that has a key.
func (tenants Tenants) ByKey(key KeyDigest) (Tenant, bool) {
	_, byKey := tenants.maps()
	if tenant, found := byKey.Get(key); found {
		return *tenant, true
	}
	return Tenant{}, false
}

// With returns the set with a tenant added, in place of one of the same name. A key that another tenant has still belongs to that one.
func (tenants Tenants) With(tenant Tenant) Tenants {
	tenants = tenants.Without(tenant.Name)
	byName, byKey := tenants.maps()
	for _, key := range tenant.Keys {
		if _, found := byKey.Get(key); !found {
			byKey = byKey.Set(key, &tenant)
		}
	}
	return Tenants{byName: byName.Set(tenant.Name, &tenant), byKey: byKey}
}

// Without returns the set without the tenant of a name.
func (tenants Tenants) Without(name string) Tenants {
	byName, byKey := tenants.maps()
	former, found := byName.Get(name)
	if !found {
		return tenants
	}
	for _, key := range former.Keys {
		if holder, _ := byKey.Get(key); holder == former {
			byKey = byKey.Delete(key)
		}
	}
	return Tenants{byName: byName.Delete(name), byKey: byKey}
}

// keyConflict returns the name of another tenant that has a key of this one.
func (tenants Tenants) keyConflict(tenant Tenant) (string, bool) {
	for _, key := range tenant.Keys {
		if holder, found := tenants.ByKey(key); found && holder.Name != tenant.Name {
			return holder.Name, true
		}
	}
	return "", false
}

// tenant reads one tenant. Errors never contain a key, which is a secret.
func (reader *Reader) tenant(name string) Tenant {
	tenant := Tenant{Name: name, AllowedRegions: reader.Texts("regions")}
	for _, key := range reader.Texts("keys") {
		if key == "" {
			reader.Errorf("keys", "a key is empty")
			continue
		}
		tenant.Keys = append(tenant.Keys, DigestKey(key))
	}
	return tenant
}
