package cmds

import (
	"fmt"
	"os"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/conf"
)

// contractCommand groups the operators' commands on contracts.
type contractCommand struct {
	Put    contractPut    `cmd:"" help:"Create or change a contract from an INI file with its contract and class sections."`
	Retire contractRetire `cmd:"" help:"Retire a contract; its customer is refused from then on."`
	List   contractList   `cmd:"" help:"Print every contract in the form that put reads."`
	Show   contractShow   `cmd:"" help:"Print a contract in the form that put reads, and its revision."`
}

type contractPut struct {
	changeFlags
	File string `arg:"" type:"existingfile" help:"INI file with one contract."`
}

// Run implements the subcommand.
func (c *contractPut) Run(s *scope) (err error) {
	contracts, err := conf.ReadContracts(c.File)
	if err != nil {
		return err
	}
	if len(contracts) != 1 {
		return fmt.Errorf("%s: holds %d contracts, but a change is of one", c.File, len(contracts))
	}
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.PutContract(s.ctx, c.change(), contracts[0])
	})
}

type contractRetire struct {
	changeFlags
	Customer string `arg:"" help:"Customer of the contract."`
}

// Run implements the subcommand.
func (c *contractRetire) Run(s *scope) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.RetireContract(s.ctx, c.change(), c.Customer)
	})
}

type contractList struct {
	adminFlags
}

// Run implements the subcommand.
func (c *contractList) Run(s *scope) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	contracts, err := client.Contracts(s.ctx)
	if err != nil {
		return err
	}
	return printContracts(contracts)
}

type contractShow struct {
	adminFlags
	Customer string `arg:"" help:"Customer of the contract."`
}

// Run implements the subcommand.
func (c *contractShow) Run(s *scope) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	contract, err := client.Contract(s.ctx, c.Customer)
	if err != nil {
		return err
	}
	return printContracts([]model.Contract{contract})
}

// printContracts gives the revisions as comments, so that the output can be
// edited and put again.
func printContracts(contracts []model.Contract) error {
	for _, c := range contracts {
		fmt.Printf("# contract %s is at revision %d\n", c.Customer, c.Revision)
	}
	return conf.WriteContracts(os.Stdout, contracts)
}
