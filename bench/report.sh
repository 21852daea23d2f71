#!/usr/bin/env bash
# Plots the figures of the last `make bench` of BUILD as PNG files in build/report.
set -eu
build=${1:?usage: bench/report.sh BUILD}
cd "$(dirname "$0")/.."
out=build/report
if [ ! -f "$build/bench/place.counted.txt" ] || [ ! -f "$build/bench/producer.plain.txt" ]; then
  bash bench/run.sh "$build" || echo "report: a bench failed or missed a bound, see above"
fi
mkdir -p "$out"
cat "$build"/bench/*.txt >"$out/figures.txt"

# Prints a line `value figure` for each figure that is named PREFIX value SUFFIX.
curve () { # PREFIX SUFFIX
  sed -n -E "s/^$1([0-9]+)$2 ([^ ]+) .*/\1 \2/p" "$out/figures.txt" | sort -n
}
for dimension in workers accelerators tasks queue; do
  curve "place_by_${dimension}_" "" >"$out/place_$dimension.dat"
  curve "end_by_${dimension}_" "" >"$out/end_$dimension.dat"
  [ -s "$out/place_$dimension.dat" ] || { echo "report: no figures for $dimension in $out/figures.txt" >&2; exit 1; }
  gnuplot <<PLOT
set terminal png size 900,600
set output "$out/place_$dimension.png"
set title "Cost against $dimension"
set xlabel "$dimension"
set ylabel "instructions"
set logscale x 2
set yrange [0:*]
set grid
set key bottom right
plot "$out/place_$dimension.dat" with linespoints lw 2 title "placement decision", \
  "$out/end_$dimension.dat" with linespoints lw 2 title "end of a task"
PLOT
done
curve "cancel_" "" >"$out/cancel.dat"
gnuplot <<PLOT
set terminal png size 900,600
set output "$out/cancel.png"
set title "Cancellation of a whole queue"
set xlabel "jobs in the queue"
set ylabel "instructions per cancelled job"
set logscale x 10
set yrange [0:*]
set grid
plot "$out/cancel.dat" with linespoints lw 2 notitle
PLOT
for variant in bare_repeated bare_refused numbered_repeated; do
  curve "producer_${variant}_at_" "_permille" >"$out/producer_$variant.dat"
done
gnuplot <<PLOT
set terminal png size 900,600
set output "$out/producer.png"
set title "Lost responses to appends"
set xlabel "lost responses, permille"
set ylabel "records"
set grid
set key top left
plot "$out/producer_bare_repeated.dat" with linespoints lw 2 title "without producer and sequence: applied more than once", \
  "$out/producer_bare_refused.dat" with linespoints lw 2 title "without producer and sequence: applied, but reported as rejected", \
  "$out/producer_numbered_repeated.dat" with linespoints lw 2 title "with producer and sequence: applied more than once"
PLOT
ls "$out"/*.png
