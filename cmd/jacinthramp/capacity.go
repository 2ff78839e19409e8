package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/capacity/chart"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// capacityCommand returns the command that computes capacity from measured slopes.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "compute what each role needs at a given size, from measured slopes",
		Description: "Every figure is intercept + slope × driver, shown with the arithmetic. A need that depends\n" +
			"on a slope that has not been measured, or on a number that the size does not state, is\n" +
			"listed without a figure. The text output is Markdown.\n\nExamples:\n\n" +
			"    jacinthramp capacity --size docs/capacity/size-letter.yaml --slopes docs/capacity/slopes.yaml\n" +
			"    jacinthramp capacity --size size.yaml --slopes slopes.yaml --output json\n" +
			"    jacinthramp capacity --size size.yaml --slopes slopes.yaml --charts docs/capacity",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "size", Usage: "`FILE` with the size", Required: true, TakesFile: true},
			&cli.StringFlag{Name: "slopes", Usage: "`FILE` with the measured slopes", Required: true, TakesFile: true},
			&cli.StringFlag{Name: "charts", Usage: "`DIRECTORY` to write a chart of each measured slope to", TakesFile: true},
			outputFlag(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			size, slopes, err := readCapacity(cmd.String("size"), cmd.String("slopes"))
			if err != nil {
				return printError(cmd, err)
			}
			if dir := cmd.String("charts"); dir != "" {
				if err := chart.WriteAll(dir, slopes); err != nil {
					return fault.Wrap(fault.KindInvalidSettings, err, "cannot write the charts")
				}
			}
			rows := capacity.Compute(size, slopes)
			if cmd.String("output") == outputJSON {
				return writeJSON(outputWriter(cmd), rows)
			}
			_, err = fmt.Fprint(outputWriter(cmd), capacity.Markdown(size, rows))
			return err
		},
	}
}

// readCapacity reads the size and slopes files.
func readCapacity(sizeFile, slopesFile string) (capacity.Size, capacity.Slopes, error) {
	data, err := os.ReadFile(sizeFile)
	if err != nil {
		return capacity.Size{}, nil, fault.Wrap(fault.KindInvalidSettings, err, "cannot read the size file")
	}
	size, err := capacity.ParseSize(sizeFile, data)
	if err != nil {
		return capacity.Size{}, nil, err
	}
	if data, err = os.ReadFile(slopesFile); err != nil {
		return capacity.Size{}, nil, fault.Wrap(fault.KindInvalidSettings, err, "cannot read the slopes file")
	}
	slopes, err := capacity.ParseSlopes(slopesFile, data)
	return size, slopes, err
}
