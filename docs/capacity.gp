# gnuplot -e "before='FOLDER OF ROWS'; now='FOLDER OF ROWS'" docs/capacity.gp
set terminal svg size 900,900 dynamic background rgb 'white'
set output 'docs/capacity.svg'
set datafile separator ','
set key left top
set grid
set multiplot layout 3,2
set logscale xy
set xlabel 'topics (services + 1)'
set ylabel 'messages a second'
set title 'messages out of a node'
plot before.'/slices.csv' using (column('services')+1):'node_out_messages_s' with points pt 6 title 'before', \
     now.'/slices.csv' using (column('services')+1):'node_out_messages_s' with points pt 7 title 'now'
set ylabel 'bytes a second'
set title 'bytes out of a node'
plot before.'/slices.csv' using (column('services')+1):'node_out_bytes_s' with points pt 6 title 'before', \
     now.'/slices.csv' using (column('services')+1):'node_out_bytes_s' with points pt 7 title 'now', 14000 with lines title 'the plan'
set ylabel '% of a core'
set title 'agent and proxy of a real node'
plot before.'/points.csv' using (column('services')+1):(column('agent_core_percent')+column('proxy_core_percent')) with points pt 6 title 'before', \
     now.'/points.csv' using (column('services')+1):(column('agent_core_percent')+column('proxy_core_percent')) with points pt 7 title 'now', \
     now.'/settled.csv' using (column('services')+1):(column('agent_core_percent')+column('proxy_core_percent')) with points pt 5 title 'now, settled', 2.2 with lines title 'the plan'
set title 'the busiest of 7 replicas'
set xlabel 'nodes x services'
plot before.'/points.csv' using (column('nodes')*column('services')):'replica_most_core_percent' with points pt 6 title 'before', \
     now.'/points.csv' using (column('nodes')*column('services')):'replica_most_core_percent' with points pt 7 title 'now', \
     now.'/settled.csv' using (column('nodes')*column('services')):'replica_most_core_percent' with points pt 5 title 'now, settled', 100 with lines title 'one core'
set ylabel 'ms'
set title 'one pass of the shares over all services'
plot before.'/pieces.csv' using (column('nodes')*column('services')):(column('share_cut_us')*column('services')/1000) with linespoints pt 6 title 'before', \
     now.'/pieces.csv' using (column('nodes')*column('services')):(column('share_cut_us')*column('services')/1000) with linespoints pt 7 title 'now', 500 with lines title 'suspicion', 200 with lines title 'time between passes, now'
set title 'one action at a replica'
plot before.'/pieces.csv' using (column('nodes')*column('services')):(column('action_us')/1000) with linespoints pt 6 title 'before', \
     now.'/pieces.csv' using (column('nodes')*column('services')):(column('action_us')/1000) with linespoints pt 7 title 'now'
unset multiplot
