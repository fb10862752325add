package block_test

import (
	"fmt"
	"net/netip"

	"github.com/teaselstack/teaselstack/block"
)

func ExampleTable_Replace() {
	var table block.Table
	table = table.Replace("nordic", []block.Block{{
		Prefix: netip.MustParsePrefix("10.0.0.0/8"),
		Region: "fi-central",
	}})
	table = table.Replace("baltic", []block.Block{{
		Prefix: netip.MustParsePrefix("10.7.0.0/16"),
		Region: "se-east",
	}})
	for _, address := range []string{"10.1.2.3", "10.7.2.3", "11.1.2.3"} {
		region, covered := table.Region(netip.MustParseAddr(address))
		fmt.Println(address, region, covered)
	}
	// Output:
	// 10.1.2.3 fi-central true
	// 10.7.2.3 se-east true
	// 11.1.2.3  false
}
