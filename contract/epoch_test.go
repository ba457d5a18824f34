package contract_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contract")
}

var _ = Describe("lease requests and leases", func() {
	epoch := contract.Epoch{Number: 4, Node: "b-control", Incarnation: "b2"}
	written := func(body any) string {
		GinkgoHelper()
		content, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		return string(content)
	}

	It("given a node without a list, when it encodes its request, then zero fields are omitted", func() {
		request := contract.LeaseRequest{Node: "a-data", Address: "a:1", Region: "east", SentAt: time.Second, ShardCount: 1}
		Expect(written(request)).To(Equal(`{"node":"a-data","address":"a:1","region":"east","asked":1000000000,"shards":1}`))
	})

	It("given an unchanged list, when the lease is encoded, then the servers and the zero shard number are omitted", func() {
		lease := contract.Lease{Region: "east", RequestSentAt: time.Second, Epoch: epoch, Number: 17, Duration: time.Second, Revision: 3, Unchanged: true, ShardCount: 1}
		Expect(written(lease)).To(Equal(`{"region":"east","asked":1000000000,"epoch":{"number":4,"node":"b-control","life":"b2"},"number":17,"life":1000000000,"revision":3,"same":true,"shards":1}`))
	})

	DescribeTable("given a message of an older version, which has zero fields too, when it is decoded, then it equals one of this version",
		func(older string, same, read any) {
			Expect(json.Unmarshal([]byte(older), read)).To(Succeed())
			Expect(read).To(Equal(same))
			fresh := reflect.New(reflect.TypeOf(same).Elem()).Interface()
			Expect(json.Unmarshal([]byte(written(same)), fresh)).To(Succeed())
			Expect(fresh).To(Equal(same))
		},
		Entry("a lease request", `{"node":"a-data","boot":"b1","address":"a:1","region":"east","shard":0,"asked":1,"highest":{"number":0,"node":""},"number":0,"shards":1}`,
			&contract.LeaseRequest{Node: "a-data", Address: "a:1", Region: "east", SentAt: 1, ShardCount: 1}, &contract.LeaseRequest{}),
		Entry("a lease", `{"region":"east","shard":0,"asked":1,"epoch":{"number":4,"node":"b-control","life":"b2"},"number":0,"life":2,"servers":null,"revision":0,"shards":1}`,
			&contract.Lease{Region: "east", RequestSentAt: 1, Epoch: epoch, Duration: 2, ShardCount: 1}, &contract.Lease{}),
		Entry("a server", `{"name":"s","address":"s:1","zone":"h","pool":"p","incarnation":"1","slots":8,"share":0,"running":0,"waiting":0,"report":0}`,
			&contract.Candidate{Name: "s", Address: "s:1", Zone: "h", Pool: "p", Incarnation: "1", Slots: 8}, &contract.Candidate{}),
		Entry("a refusal", `{"region":"east","shard":0,"owner":""}`, &contract.NotOwner{Region: "east"}, &contract.NotOwner{}))
})
